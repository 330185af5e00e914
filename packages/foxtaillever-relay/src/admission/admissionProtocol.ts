/**
 * Admission of requests at backend servers, decided for all instances by the owner of
 * each server: its first watcher, which receives the load reports. The requester asks
 * the owner, and the second watcher when the owner does not answer or lacks reports.
 * A queued request is renewed every 250 ms. The first decision that arrives counts;
 * the other instances that were asked get a cancellation.
 */
import { atAfterReading, type Cancellation } from 'foxtaillever-core'
import { RecentMap } from 'foxtaillever-policy/collections/recentMap'
import { DatagramKind } from '../peers/datagram.js'
import { firstRequestNumber } from '../peers/firstRequestNumber.js'
import { UnresponsivePeers, type UnresponsivePeersOptions } from '../peers/unresponsivePeers.js'
import { AdmissionOutcome, type AdmissionMessage, type AdmissionRequest, type AdmissionResponse } from './admissionMessage.js'
import { AdmissionOwner, type AdmissionOwnerOptions } from './admissionOwner.js'

/** The owner answers from memory. The round trip takes at most 2.8 ms, and the event loop of a slow machine adds up to 10. */
const RESPONSE_TIMEOUT_MS = 15

/** The same for a brittle server: two instances that decide at the same time, because one of them was busy, admit too much. */
const BRITTLE_RESPONSE_TIMEOUT_MS = 100

/** A queued request chooses its server again after this many milliseconds. */
const RENEWAL_MS = 250

/** A request that is not renewed is cancelled after this many milliseconds; the owner's entry expires then. */
const ABANDONED_MS = 600

/** Longest time until the latest start that is sent, milliseconds; far beyond every deadline. */
const MAX_START_IN_MS = 3_600_000

/** Completed requests for which a late admission is recognized. */
const MAX_COMPLETED = 2048

/** A request that asks for admission. */
export interface AdmissionClaim extends Pick<AdmissionRequest, 'server' | 'tokens' | 'heldTokens' | 'priority' | 'account' | 'fingerprint' | 'objectiveMs'> {
  /** When its caller sent the request, milliseconds of Unix time. */
  readonly arrivedAt: number
  /** From then on it cannot begin in time for its deadline, milliseconds of Unix time. */
  readonly latestStartAt: number
  /** The server fails if it gets more than it has slots for. */
  readonly isBrittle: boolean
}

export interface AdmissionResult {
  /** `NotOwner` if no instance decided: the request is sent as without admission. */
  readonly outcome: AdmissionOutcome
  /** Address of the instance that decided; empty if none did. */
  readonly decidedBy: string
  /** For a rejected request: when there will be room, milliseconds of Unix time. */
  readonly retryAt: number
  /** Time that the server needed to read what it had, milliseconds. */
  readonly backlogMs: number
}

export interface PendingAdmission {
  /** Asks again for the same server, after the result `Queued`. */
  readonly renew: (onResult: (result: AdmissionResult) => void) => void
  /** Withdraws the request, or returns an admission that is not used. */
  readonly cancel: () => void
}

export interface AdmissionProtocolOptions extends Omit<AdmissionOwnerOptions, 'respond'>, UnresponsivePeersOptions {
  readonly send: (address: string, message: AdmissionMessage) => void
  /** Called when a request of this instance is queued for the first time, and when it is decided. */
  readonly onDecided: (outcome: AdmissionOutcome, waitedMs: number) => void
}

/** Decides on no request: each is sent as without admission. */
export const noAdmissionProtocol: Pick<AdmissionProtocol, 'request'> = {
  request: (_, onResult) => {
    onResult({ outcome: AdmissionOutcome.NotOwner, decidedBy: '', retryAt: 0, backlogMs: 0 })
    return { renew: () => {}, cancel: () => {} }
  }
}

interface PendingRequest {
  number: number
  readonly claim: AdmissionClaim
  readonly requestedAt: number
  /** Instances that were asked and may have the request queued. */
  readonly asked: Set<string>
  /** Instances not asked in this round yet. */
  remaining: readonly string[]
  /** Instance whose first response in this round is awaited. */
  awaited: string | undefined
  /** Address and backlog of the instance that queued the request in this round. */
  queuedAt: Pick<AdmissionResult, 'decidedBy' | 'backlogMs'> | undefined
  readonly onQueued: () => void
  wasQueued: boolean
  result: AdmissionResult | undefined
  /** Undefined between the result `Queued` and the renewal. */
  onResult: ((result: AdmissionResult) => void) | undefined
  cancelTimeout: Cancellation
  cancelRound: Cancellation
}

export class AdmissionProtocol {
  private readonly owner: AdmissionOwner
  private readonly unresponsive: UnresponsivePeers
  private readonly pending = new Map<number, PendingRequest>()
  /** Address of the instance whose admission a completed request uses; empty if it uses none. By number. */
  private readonly completed = RecentMap.create<string>(MAX_COMPLETED)
  private nextNumber: number

  private constructor (private readonly options: AdmissionProtocolOptions) {
    this.owner = AdmissionOwner.create({ ...options, respond: (address, response) => this.send(address, response) })
    this.unresponsive = UnresponsivePeers.create(options)
    this.nextNumber = firstRequestNumber(options.clock)
  }

  static create (options: AdmissionProtocolOptions): AdmissionProtocol {
    return new AdmissionProtocol(options)
  }

  /** Entries that this instance has queued as owner. */
  get queueSize (): number {
    return this.owner.size
  }

  stop (): void {
    this.owner.stop()
    this.pending.forEach(request => this.cancelTimers(request))
    this.pending.clear()
  }

  /**
   * Asks for admission. Calls back once, possibly before it returns: `Admitted`, `Rejected`, `Queued`
   * after 250 ms, upon which the caller renews or cancels, or `NotOwner` when no instance decided.
   * @param onQueued called once an owner has queued the request, before the result.
   */
  request (claim: AdmissionClaim, onResult: (result: AdmissionResult) => void, onQueued: () => void = () => {}): PendingAdmission {
    const now = this.options.clock.now()
    const request: PendingRequest = {
      number: this.nextNumber++, claim, requestedAt: now, asked: new Set(), remaining: [], awaited: undefined, queuedAt: undefined, onQueued, wasQueued: false, result: undefined, onResult: undefined, cancelTimeout: () => {}, cancelRound: () => {}
    }
    this.pending.set(request.number, request)
    this.startRound(request, onResult)
    return { renew: onRenewed => this.renew(request, onRenewed), cancel: () => this.cancel(request) }
  }

  receive (message: AdmissionMessage): void {
    switch (message.kind) {
      case DatagramKind.AdmissionRequest: this.owner.handleRequest(message); break
      case DatagramKind.AdmissionResponse: this.receiveResponse(message); break
      case DatagramKind.AdmissionCancel: this.owner.handleCancel(message); break
    }
  }

  /**
   * A load report on a watched server arrived.
   * @param added by how many the reporter's outstanding requests at the server rose.
   */
  recordLoad (server: number, reporter: string, added: number): void {
    this.owner.recordLoad(server, reporter, added)
  }

  /** Tokens queued here at the priority or a more urgent one; for an account, those before its next request. */
  queuedTokens (server: number, priority: number, account?: string): number {
    return this.owner.queuedTokens(server, priority, account)
  }

  private renew (request: PendingRequest, onResult: (result: AdmissionResult) => void): void {
    if (request.result) {
      // It was decided between the result `Queued` and the renewal.
      onResult(request.result)
    } else {
      this.pending.set(request.number, request)
      this.startRound(request, onResult)
    }
  }

  private cancel (request: PendingRequest): void {
    const { number, asked, result } = request
    if (result?.outcome === AdmissionOutcome.Admitted && this.completed.peek(String(number)) === result.decidedBy) {
      this.sendCancel(result.decidedBy, request)
    }
    this.cancelTimers(request)
    this.pending.delete(number)
    this.completed.set(String(number), '')
    asked.forEach(address => this.sendCancel(address, request))
    asked.clear()
    // A renewal later than ABANDONED_MS asks for a new place, while a response on this one may still arrive.
    request.number = this.nextNumber++
  }

  /** Asks the watchers of the server in turn. */
  private startRound (request: PendingRequest, onResult: (result: AdmissionResult) => void): void {
    this.cancelTimers(request)
    Object.assign(request, { onResult, queuedAt: undefined, remaining: this.options.watchersOf(request.claim.server).filter(address => !this.unresponsive.has(address)) })
    this.askNext(request)
  }

  private askNext (request: PendingRequest): void {
    const { clock } = this.options
    const [next, ...remaining] = request.remaining
    request.cancelTimeout()
    request.remaining = remaining
    request.awaited = next
    if (next !== undefined) {
      request.asked.add(next)
      request.cancelTimeout = atAfterReading(clock, clock.now() + (request.claim.isBrittle ? BRITTLE_RESPONSE_TIMEOUT_MS : RESPONSE_TIMEOUT_MS), () => {
        this.unresponsive.recordTimeout(next)
        this.askNext(request)
      })
      this.send(next, this.messageOf(request))
    } else if (request.queuedAt === undefined) {
      this.complete(request, { outcome: AdmissionOutcome.NotOwner, decidedBy: '', retryAt: clock.now(), backlogMs: 0 })
    }
  }

  private messageOf ({ number, claim }: PendingRequest): AdmissionRequest {
    const { clock, address } = this.options
    const { arrivedAt, latestStartAt, isBrittle, ...fields } = claim
    const now = clock.now()
    return { kind: DatagramKind.AdmissionRequest, address, number, ...fields, elapsedMs: now - arrivedAt, startInMs: Math.min(MAX_START_IN_MS, latestStartAt - now) }
  }

  private receiveResponse (response: AdmissionResponse): void {
    const { address, number, server, outcome, retryMs, backlogMs } = response
    this.unresponsive.recordAnswer(address)
    const request = this.pending.get(number)
    if (request?.claim.server !== server || !request.asked.has(address)) {
      if (outcome === AdmissionOutcome.Admitted && this.completed.peek(String(number)) !== address) {
        this.sendCancel(address, { number, claim: { server } })
      }
      return
    }
    switch (outcome) {
      case AdmissionOutcome.Queued: this.recordQueued(request, address, backlogMs); break
      case AdmissionOutcome.NotOwner:
        request.asked.delete(address)
        if (request.awaited === address) {
          this.askNext(request)
        }
        break
      case AdmissionOutcome.Admitted:
      case AdmissionOutcome.Rejected: this.complete(request, { outcome, decidedBy: address, retryAt: this.options.clock.now() + retryMs, backlogMs })
    }
  }

  private recordQueued (request: PendingRequest, address: string, backlogMs: number): void {
    const { clock, onDecided } = this.options
    if (request.awaited === address) {
      request.awaited = undefined
      request.cancelTimeout()
    }
    if (request.onResult === undefined || request.queuedAt !== undefined) {
      return
    }
    request.queuedAt = { decidedBy: address, backlogMs }
    request.cancelRound = clock.at(clock.now() + RENEWAL_MS, () => this.endRound(request))
    if (!request.wasQueued) {
      request.wasQueued = true
      onDecided(AdmissionOutcome.Queued, clock.now() - request.requestedAt)
      request.onQueued()
    }
  }

  /** The request is still queued: its caller chooses a server again. */
  private endRound (request: PendingRequest): void {
    const { clock } = this.options
    const now = clock.now()
    const { onResult, queuedAt } = request
    this.cancelTimers(request)
    request.onResult = undefined
    request.cancelRound = clock.at(now + ABANDONED_MS, () => this.cancel(request))
    onResult?.({ outcome: AdmissionOutcome.Queued, decidedBy: '', retryAt: now, backlogMs: 0, ...queuedAt })
  }

  private complete (request: PendingRequest, result: AdmissionResult): void {
    const { clock, onDecided } = this.options
    const { number, asked, onResult, requestedAt } = request
    this.cancelTimers(request)
    this.pending.delete(number)
    this.completed.set(String(number), result.outcome === AdmissionOutcome.Admitted ? result.decidedBy : '')
    asked.delete(result.decidedBy)
    asked.forEach(address => this.sendCancel(address, request))
    asked.clear()
    request.result = result
    onDecided(result.outcome, clock.now() - requestedAt)
    onResult?.(result)
  }

  private cancelTimers (request: PendingRequest): void {
    request.cancelTimeout()
    request.cancelRound()
  }

  private sendCancel (address: string, { number, claim: { server } }: { readonly number: number, readonly claim: Pick<AdmissionClaim, 'server'> }): void {
    this.send(address, { kind: DatagramKind.AdmissionCancel, address: this.options.address, number, server })
  }

  private send (address: string, message: AdmissionMessage): void {
    if (address === this.options.address) {
      this.receive(message)
    } else {
      this.options.send(address, message)
    }
  }
}
