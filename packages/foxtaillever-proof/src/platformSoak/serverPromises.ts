/** Promises of a soak that servers alone can judge: whom they ran, on which cached levels, and who ordered them. */
import { allowedInWindow, ENFORCED_AFTER_MS, countWindows, WINDOW_MS } from 'foxtaillever-platform/__fixtures__/requestWindows'
import { leavingViolations, backoffViolations, type SentRequest } from 'foxtaillever-platform/__fixtures__/statementOracle'
import type { AcceptedOrder } from 'foxtaillever-standins'
import type { Disturbances } from './disturbances.js'
import type { SoakedFleet } from './soakedFleet.js'
import { WALLED } from './soakOperator.js'

/** New work may come to a leaving server for so long, milliseconds. */
const DRAIN_MS = 2000

export function serverComplaints (fleet: SoakedFleet, disturbances: Disturbances): string[] {
  return [...drainComplaints(fleet, disturbances), ...cacheComplaints(fleet), ...orderComplaints(fleet)]
}

/**
 * More requests in some time than a server said it takes. Instances that have just
 * started know nothing of it yet, so such times are left out.
 */
export function limitComplaints ({ operator }: Pick<SoakedFleet, 'operator'>, outages: Disturbances): string[] {
  return operator.rates.flatMap(({ server, perSecond, from, until }) => {
    const most = allowedInWindow(perSecond)
    const times = server.arrivals
      .filter(({ at, statedLimit }) => statedLimit === String(perSecond) && at >= from + ENFORCED_AFTER_MS && at <= until)
      .map(({ at }) => at)
    return countWindows(times)
      .filter(({ from: at, count }) => count > most && outages.wasCalm(at - ENFORCED_AFTER_MS, at + WINDOW_MS))
      .map(({ from: at, count }) => `${server.id} got ${count} requests in ${WINDOW_MS} ms from ${at - from} ms after it stated ${perSecond} a second on`)
  })
}

/** Requests that reached servers against what these had told the instances, which a start or a suspension of the instance excuses; so does a cut for a rest. */
export function statementComplaints ({ platform, instances }: Pick<SoakedFleet, 'platform' | 'instances'>, sent: readonly SentRequest[], outages: Disturbances, cuts: Disturbances): string[] {
  const ranOn = (instance: number, from: number, until: number): boolean => outages.wasCalm(from, until, instances[instance]?.address)
  return platform.servers.flatMap(server => [
    ...leavingViolations(server, sent, ranOn),
    ...backoffViolations(server, sent, (instance, from, until) => ranOn(instance, from, until) && cuts.wasCalm(from, until))
  ])
}

/** Work that an instance sent to a server long after it could know that the server leaves. */
function drainComplaints ({ operator }: SoakedFleet, disturbances: Disturbances): string[] {
  return operator.drains.flatMap(({ server, id, at }) => server.arrivals
    .filter(arrival => arrival.hasRun && arrival.at > at + DRAIN_MS && server.id === id && disturbances.wasCalm(at, arrival.at))
    .map(({ requestId, at: arrivedAt }) => `${requestId} ran at ${id} ${arrivedAt - at} ms after it was told to leave`))
}

/** Cached levels of other weights, or from behind another account's wall. */
function cacheComplaints ({ platform }: SoakedFleet): string[] {
  return platform.partUses().flatMap(({ requestId, account, weightsVersion, part: { id, origin: maker } }) => {
    const isStale = maker.weightsVersion !== weightsVersion
    const isForeign = maker.account !== account && [maker.account, account].includes(WALLED)
    return [
      ...(isStale ? [`${requestId} built on level ${id} of weights ${maker.weightsVersion} under weights ${weightsVersion}`] : []),
      ...(isForeign ? [`${requestId} of ${account} built on level ${id} of ${maker.account}`] : [])
    ]
  })
}

/** Orders of two holders under one fencing number, or of one whose lease had gone to another. */
function orderComplaints ({ platform }: SoakedFleet): string[] {
  const taken = platform.acceptedOrders().sort((one, other) => one.at - other.at)
  const holders = new Map<number, string>()
  let highest: AcceptedOrder | undefined
  return taken.flatMap(order => {
    const { holder, fence } = order
    const known = holders.get(fence) ?? holder
    holders.set(fence, known)
    const before = highest
    highest = before === undefined || fence > before.fence ? order : before
    return [
      ...(known === holder ? [] : [`${holder} and ${known} both ordered under fence ${fence}`]),
      ...(before !== undefined && fence < before.fence ? [`${holder} ordered under fence ${fence} after ${before.holder} under ${before.fence}`] : [])
    ]
  })
}
