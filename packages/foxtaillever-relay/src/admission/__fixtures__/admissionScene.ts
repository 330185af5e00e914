/** A fleet with one server, and the instances that play a part in its admissions. */
import type { ExecutionContext } from 'ava'
import { AdmissionOutcome } from '../admissionMessage.js'
import { AdmissionFleet, type FleetNode, type FleetRequest, type FleetServer } from './admissionFleet.js'

export interface Scene {
  readonly fleet: AdmissionFleet
  readonly server: FleetServer
  readonly owner: FleetNode
  readonly standby: FleetNode
  readonly requester: FleetNode
}

export async function startScene (size = 6): Promise<Scene> {
  const fleet = await AdmissionFleet.start(size)
  const [server] = fleet.servers as [FleetServer]
  const [owner, standby] = fleet.watchersOf(server) as [FleetNode, FleetNode]
  return { fleet, server, owner, standby, requester: fleet.requesterFor(server) }
}

/** Occupies the server's read-ahead, so that a further request is queued. */
export async function occupy ({ fleet, server }: Scene, prompts = 3): Promise<FleetRequest[]> {
  const others = fleet.requesterFor(server, 1)
  const requests = Array.from({ length: prompts }, () => fleet.request(others, server))
  await fleet.pass(30)
  return requests
}

export function outcomesOf ({ results }: FleetRequest): AdmissionOutcome[] {
  return results.map(({ outcome }) => outcome)
}

/** Checks that the next request of the scene is decided by the instance within the time, milliseconds. */
export async function assertNextDecidedBy (t: ExecutionContext, { fleet, requester, server }: Scene, node: FleetNode, withinMs: number): Promise<void> {
  const request = fleet.request(requester, server)
  await fleet.pass(withinMs)
  assertDecidedBy(t, request, node)
}

export function assertDecidedBy (t: ExecutionContext, { result, sent }: FleetRequest, node: FleetNode): void {
  t.is(result?.outcome, AdmissionOutcome.Admitted)
  t.is(result?.decidedBy, node.address)
  t.is(sent, 1)
}
