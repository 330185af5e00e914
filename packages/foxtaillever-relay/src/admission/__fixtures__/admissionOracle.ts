/**
 * Checks admissions from outside of the protocol: by the datagrams between instances
 * and by what reaches the servers.
 */
import { DatagramKind } from '../../peers/datagram.js'
import { AdmissionOutcome, type AdmissionMessage } from '../admissionMessage.js'
import type { AdmissionFleet, FleetNode, FleetRequest, FleetServer } from './admissionFleet.js'
import { capacity } from './simulatedServer.js'

/** The largest request that histories draw, tokens. */
export const LARGEST = 9190

/** The smallest request that histories draw, tokens. */
export const SMALLEST = 4000

/**
 * Requests that an owner may admit beyond slots and memory: those that it takes for read
 * when the server has just stopped, four times the read-ahead, and one more.
 */
const EXCESS = Math.ceil(4 * capacity.readAheadMs * capacity.tokensPerMs / SMALLEST) + 1

/** A queued entry is removed this long after its last renewal, milliseconds. */
const ENTRY_TTL_MS = 600

interface QueuedEntry {
  readonly server: number
  readonly priority: number
  readonly until: number
}

export class AdmissionOracle {
  readonly violations: string[] = []
  /** Largest number of requests at a server beyond its slots, admitted by one owner. */
  worstExcess = -Infinity
  /** Whether no request yields to others: its objective is far away. */
  isOrderChecked = true
  /** Whether no fault affects the fleet. */
  isUndisturbed = false
  /** Entries for which each owner has sent the outcome Queued, by owner and request. */
  private readonly queued = new Map<string, Map<string, QueuedEntry>>()

  /** Decisions by owner and request; a repeated response is no decision. */
  private readonly decided = new Set<string>()
  private readonly priorities = new Map<string, number>()

  private constructor (private readonly fleet: AdmissionFleet) {}

  static create (fleet: AdmissionFleet): AdmissionOracle {
    const oracle = new AdmissionOracle(fleet)
    fleet.onSend = (from, to, message) => oracle.checkSent(from, to, message)
    fleet.onReceive = (to, message) => oracle.recordReceived(to, message)
    fleet.onArrival = request => oracle.checkServer(request)
    return oracle
  }

  /** The owner lost its queue. */
  forget ({ address }: FleetNode): void {
    this.queued.delete(address)
  }

  /** Checks that every request was decided once, and in time after the last fault. */
  checkRequests (faultsEndedAt: number, boundMs: number): void {
    const limit = faultsEndedAt + boundMs
    for (const request of this.fleet.requests.filter(({ node, generation }) => node.generation === generation)) {
      const { result, sent, results, decidedAt, arrivedAt } = request
      if (result === undefined || decidedAt > limit) {
        this.violate(`request of ${arrivedAt} was ${result === undefined ? 'never decided' : `decided ${decidedAt - faultsEndedAt} ms after the last fault`}`)
      }
      if (sent > 1 || results.filter(({ outcome }) => outcome !== AdmissionOutcome.Queued).length > 1) {
        this.violate(`request of ${arrivedAt} was decided ${results.length} times and sent ${sent} times`)
      }
    }
  }

  /** Checks that the first watcher decided on every request from then on. */
  checkOwners (from: number): void {
    for (const { arrivedAt, result, server } of this.fleet.requests.filter(request => request.arrivedAt >= from)) {
      const [owner] = this.fleet.watchersOf(server)
      if (result !== undefined && result.decidedBy !== owner?.address) {
        this.violate(`request of ${arrivedAt} was decided by ${result.decidedBy} instead of ${owner?.address}`)
      }
    }
  }

  /** Slots and memory, by what each owner admitted. */
  private checkServer ({ server }: FleetRequest): void {
    const allowed = this.isUndisturbed ? 0 : EXCESS
    // Without faults there is one owner, and none of them exceeds slots and memory.
    for (const [owner, requests] of admittedByOwner(server)) {
      const heldTokens = requests.reduce((sum, request) => sum + request.heldTokens, 0)
      const excess = Math.max(requests.length - capacity.slots, (heldTokens - capacity.memoryTokens) / LARGEST)
      this.worstExcess = Math.max(this.worstExcess, excess)
      if (excess > allowed) {
        this.violate(`${owner} admitted ${requests.length} requests with ${heldTokens} tokens to ${server.name}`)
      }
    }
  }

  /** A more urgent request that the owner has queued at the same server is admitted first. */
  private checkSent (from: FleetNode, to: string, message: AdmissionMessage): void {
    if (message.kind !== DatagramKind.AdmissionResponse) {
      return
    }
    const now = this.fleet.clock.now()
    const entries = this.queued.get(from.address) ?? new Map<string, QueuedEntry>()
    this.queued.set(from.address, entries)
    const key = `${to} ${message.number}`
    const priority = this.priorities.get(key) ?? 0
    if (message.outcome === AdmissionOutcome.Queued) {
      entries.set(key, { server: message.server, priority, until: now + ENTRY_TTL_MS })
      return
    }
    entries.delete(key)
    const isRepeated = this.decided.has(`${from.address} ${key}`)
    this.decided.add(`${from.address} ${key}`)
    const before = [...entries.values()].filter(entry => entry.server === message.server && entry.until > now && entry.priority < priority)
    if (this.isOrderChecked && !isRepeated && message.outcome === AdmissionOutcome.Admitted && before.length > 0) {
      this.violate(`${from.address} admitted priority ${priority} before ${before.map(entry => entry.priority).join(' ')}`)
    }
  }

  private recordReceived (to: FleetNode, message: AdmissionMessage): void {
    const key = `${message.address} ${message.number}`
    if (message.kind === DatagramKind.AdmissionCancel) {
      this.queued.get(to.address)?.delete(key)
    } else if (message.kind === DatagramKind.AdmissionRequest) {
      this.priorities.set(key, message.priority)
    }
  }

  private violate (what: string): void {
    this.violations.push(`at ${Math.round(this.fleet.clock.now())}: ${what}`)
  }
}

function admittedByOwner (server: FleetServer): Map<string, FleetRequest[]> {
  const byOwner = new Map<string, FleetRequest[]>()
  for (const request of server.running) {
    const owner = request.result?.outcome === AdmissionOutcome.Admitted ? request.result.decidedBy : ''
    if (owner !== '') {
      byOwner.set(owner, [...byOwner.get(owner) ?? [], request])
    }
  }
  return byOwner
}
