/**
 * The owner's side of admission: decides on requests of all instances for the servers
 * whose load reports arrive here. All state is soft. It is created with the first
 * request for a server and dropped when the server has been idle for a while.
 */
import type { Cancellation, Clock } from 'foxtaillever-core'
import type { ServerLoad } from 'foxtaillever-policy/relay/serverLoad'
import { FEASIBLE_QUEUE_SHARE } from 'foxtaillever-policy/relay/admissionQueue'
import { LEAST_URGENT_PRIORITY } from 'foxtaillever-policy/relay/yieldPriority'
import { DatagramKind } from '../peers/datagram.js'
import { AdmissionOutcome, type AdmissionCancel, type AdmissionRequest, type AdmissionResponse } from './admissionMessage.js'
import { ServerAdmissions, type Decision, type RequestId, type ServerCapacity } from './serverAdmissions.js'

/** A queued request is removed this long after its last renewal, milliseconds: two renewals may be lost. */
const ENTRY_TTL_MS = 600

export interface AdmissionOwnerOptions {
  readonly clock: Clock
  readonly address: string
  /** Addresses of the instances that receive the load reports of a server, the owner first. */
  readonly watchersOf: (server: number) => readonly string[]
  /** Whether this instance has received every load report that it should have. */
  readonly isComplete: () => boolean
  /** Undefined for a server that is not known or takes no requests. */
  readonly roomOf: (server: number) => ServerCapacity | undefined
  /** Load that all instances put on a server, as reported. */
  readonly loadOf: (server: number) => ServerLoad
  readonly respond: (address: string, response: AdmissionResponse) => void
}

interface OwnedServer {
  readonly admissions: ServerAdmissions
  cancelDecision: Cancellation
}

const undecided: Decision = { outcome: AdmissionOutcome.NotOwner, retryAt: 0, backlogMs: 0 }

export class AdmissionOwner {
  private readonly servers = new Map<number, OwnedServer>()

  private constructor (private readonly options: AdmissionOwnerOptions) {}

  static create (options: AdmissionOwnerOptions): AdmissionOwner {
    return new AdmissionOwner(options)
  }

  /** Entries in all queues. */
  get size (): number {
    return [...this.servers.values()].reduce((sum, { admissions }) => sum + admissions.size, 0)
  }

  stop (): void {
    this.servers.forEach(({ cancelDecision }) => cancelDecision())
    this.servers.clear()
  }

  queuedTokens (server: number, priority: number, account?: string): number {
    return this.servers.get(server)?.admissions.queuedTokens(priority, account) ?? 0
  }

  /** Responds to a request, at once and, while it is queued, again when it is decided. */
  handleRequest (request: AdmissionRequest): void {
    const { server, elapsedMs, objectiveMs, startInMs, tokens, heldTokens, priority, account, fingerprint } = request
    const now = this.options.clock.now()
    const capacity = this.capacityOf(server)
    if (capacity === undefined) {
      this.respond(server, request, undecided)
      return
    }
    const { admissions } = this.serverFor(server, now)
    const known = admissions.decisionOn(request, now)
    if (known) {
      this.respond(server, request, known)
      return
    }
    const entry = { tokens, heldTokens, priority, account, fingerprint, objectiveAt: now - elapsedMs + FEASIBLE_QUEUE_SHARE * objectiveMs, latestStartAt: now + startInMs, expiresAt: now + ENTRY_TTL_MS }
    if (!admissions.add({ address: request.address, number: request.number }, entry, now)) {
      const backlogMs = admissions.backlogMs(capacity, now)
      const retryAt = now + backlogMs + admissions.queuedTokens(LEAST_URGENT_PRIORITY) / capacity.tokensPerMs
      this.respond(server, request, { outcome: AdmissionOutcome.Rejected, retryAt, backlogMs })
      return
    }
    this.decide(server)
    if (admissions.decisionOn(request, now) === undefined) {
      this.respond(server, request, { outcome: AdmissionOutcome.Queued, retryAt: now, backlogMs: admissions.backlogMs(capacity, now) })
    }
  }

  handleCancel ({ server, ...id }: AdmissionCancel): void {
    this.servers.get(server)?.admissions.cancel(id, this.options.clock.now())
    this.decide(server)
  }

  /** A load report on the server arrived; see `ServerAdmissions.recordLoad`. */
  recordLoad (server: number, reporter: string, added: number): void {
    const { clock, loadOf } = this.options
    const owned = this.servers.get(server)
    if (owned) {
      const load = loadOf(server)
      owned.admissions.recordLoad(load, reporter, added, clock.now())
      this.decide(server, load)
    }
  }

  /** Undefined while this instance cannot decide on the server. */
  private capacityOf (server: number): ServerCapacity | undefined {
    const { address, watchersOf, isComplete, roomOf } = this.options
    const capacity = isComplete() && watchersOf(server).includes(address) ? roomOf(server) : undefined
    return capacity && capacity.tokensPerMs > 0 ? capacity : undefined
  }

  private serverFor (server: number, now: number): OwnedServer {
    const known = this.servers.get(server)
    if (known) {
      return known
    }
    this.dropIdle(now)
    const owned = { admissions: ServerAdmissions.create(this.options.loadOf(server), now), cancelDecision: () => {} }
    this.servers.set(server, owned)
    return owned
  }

  private dropIdle (now: number): void {
    this.servers.forEach(({ admissions, cancelDecision }, server) => {
      if (admissions.isIdle(now)) {
        cancelDecision()
        this.servers.delete(server)
      }
    })
  }

  private decide (server: number, knownLoad?: ServerLoad): void {
    const owned = this.servers.get(server)
    if (owned === undefined) {
      return
    }
    const { clock, loadOf } = this.options
    const { admissions } = owned
    const now = clock.now()
    owned.cancelDecision()
    const capacity = this.capacityOf(server)
    if (capacity === undefined) {
      // At its next renewal each requester gets NotOwner and asks elsewhere.
      this.servers.delete(server)
      return
    }
    const decisions = admissions.decide(knownLoad ?? loadOf(server), capacity, now)
    const nextAt = admissions.nextDecisionAt(capacity, now)
    owned.cancelDecision = Number.isFinite(nextAt) ? clock.at(nextAt, () => this.decide(server)) : () => {}
    decisions.forEach(({ id, ...decision }) => this.respond(server, id, decision))
  }

  private respond (server: number, { address: requester, number }: RequestId, { outcome, retryAt, backlogMs }: Decision): void {
    const { clock, address, respond } = this.options
    respond(requester, { kind: DatagramKind.AdmissionResponse, address, number, server, outcome, retryMs: Math.max(0, retryAt - clock.now()), backlogMs })
  }
}
