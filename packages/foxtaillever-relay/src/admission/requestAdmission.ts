/**
 * Waits for admission of one request at the backend server that was chosen for it.
 * While it waits, its server is chosen again at every second renewal, and at once when
 * the server takes no more requests, so that it leaves the queue of a server that fails,
 * or takes the room of another. It stays in the queue of a server that takes requests again
 * in a moment if no other server takes it.
 */
import type { Clock } from 'foxtaillever-core'
import type { Exchange } from '../model/exchange.js'
import { availableFrom } from '../servers/serverAvailability.js'
import type { KnownServer } from '../servers/knownServer.js'
import type { RelayLog } from '../telemetry/relayLog.js'
import type { AdmissionClaims } from './admissionClaims.js'
import { AdmissionOutcome } from './admissionMessage.js'
import type { AdmissionProtocol, AdmissionResult, PendingAdmission } from './admissionProtocol.js'

/** Renewals after which the server is chosen again while it takes requests: a choice costs more than all else that a renewal does. */
const RENEWALS_PER_CHOICE = 2

/** When to retry a request on whose admission no instance decides, milliseconds: another instance takes over within this. */
const UNDECIDED_RETRY_MS = 500

export interface AdmissionContext {
  readonly claims: Pick<AdmissionClaims, 'claimFor' | 'queuePositionOf' | 'mayBypass'>
  readonly protocol: Pick<AdmissionProtocol, 'request'>
}

export interface RequestAdmissionOptions {
  readonly admission: AdmissionContext
  readonly clock: Clock
  readonly log: Pick<RelayLog, 'admissionQueued' | 'admittedAfterWaiting' | 'admissionRejected'>
  readonly exchange: Exchange
  /** @param isAdmitted by the owner of the server's queue; false where no instance decided. */
  readonly onAdmitted: (server: KnownServer, isAdmitted: boolean) => void
  /** @param retryAt when there will be room, milliseconds of Unix time. */
  readonly onRejected: (retryAt: number) => void
  /** The request still waits; its server is to be chosen again. */
  readonly onQueued: () => void
}

/** Longest time for which a server may take no requests while its queue keeps them, milliseconds: about two renewals. */
const MAX_BLOCKED_MS = 500

/** Infinity for never again. */
function takesRequestsFrom (server: KnownServer): number {
  return Math.max(availableFrom(server), server.changingUntil, server.unreachableUntil)
}

function takesRequests (server: KnownServer, now: number): boolean {
  return takesRequestsFrom(server) <= now
}

export class RequestAdmission {
  private pending: PendingAdmission | undefined
  private server: KnownServer | undefined
  /** Of the claim at the server, milliseconds of Unix time. */
  private latestStartAt = 0
  /** The admission that was granted last. */
  private admitted: PendingAdmission | undefined
  /** When the request first asked for admission, milliseconds of Unix time. */
  private requestedAt: number | undefined
  private wasQueued = false
  /** Since the server was chosen. */
  private renewals = 0

  private constructor (private readonly options: RequestAdmissionOptions) {}

  static create (options: RequestAdmissionOptions): RequestAdmission {
    return new RequestAdmission(options)
  }

  /** Whether the request was queued and its server is to be chosen again. */
  get isWaiting (): boolean {
    return this.pending !== undefined
  }

  /** The server in whose queue the request waits, if it takes requests again in a moment, and in time for the request to begin. */
  get serverToKeep (): KnownServer | undefined {
    const { pending, server, latestStartAt, options: { clock } } = this
    const isKept = pending && server && takesRequestsFrom(server) <= Math.min(clock.now() + MAX_BLOCKED_MS, latestStartAt)
    return isKept ? server : undefined
  }

  /** Asks for admission at the server; after `onQueued` it renews the claim there, or moves it. */
  request (server: KnownServer): void {
    const { admission, clock, exchange } = this.options
    if (this.server === server) {
      this.renew()
      return
    }
    this.cancel()
    this.admitted = undefined
    const claim = admission.claims.claimFor(exchange, server)
    if (claim === undefined) {
      this.options.onAdmitted(server, false)
      return
    }
    this.requestedAt ??= clock.now()
    this.server = server
    this.latestStartAt = claim.latestStartAt
    this.renewals = 0
    // An owner that is this instance may decide before the call returns.
    let earlyResult: AdmissionResult | undefined
    this.pending = admission.protocol.request(claim, result => {
      if (this.pending) {
        this.handleResult(server, result)
      } else {
        earlyResult = result
      }
    })
    if (earlyResult) {
      this.handleResult(server, earlyResult)
    }
  }

  /** Goes on waiting in the same queue, after `onQueued`. */
  renew (): void {
    const { pending, server } = this
    if (server) {
      pending?.renew(result => this.handleResult(server, result))
    }
  }

  /** Withdraws the request from the queue. */
  cancel (): void {
    this.pending?.cancel()
    this.leaveQueue()
  }

  /** Returns an admission that is not used, so that the server's owner admits another request. */
  returnAdmission (): void {
    this.admitted?.cancel()
    this.admitted = undefined
  }

  private leaveQueue (): void {
    this.pending = undefined
    this.server = undefined
  }

  private handleResult (server: KnownServer, result: AdmissionResult): void {
    this.handlers[result.outcome](server, result)
  }

  private readonly handlers: Readonly<Record<AdmissionOutcome, (server: KnownServer, result: AdmissionResult) => void>> = {
    [AdmissionOutcome.Admitted]: (server, result) => {
      const { log, exchange, clock, onAdmitted } = this.options
      if (this.wasQueued) {
        log.admittedAfterWaiting(exchange, server.listed.id, result, this.requestedAt ?? clock.now(), clock.now())
      }
      this.admitted = this.pending
      this.leaveQueue()
      onAdmitted(server, true)
    },
    [AdmissionOutcome.Queued]: (server, result) => {
      const { log, exchange, clock, onQueued } = this.options
      if (!this.wasQueued) {
        this.wasQueued = true
        log.admissionQueued(exchange, server.listed.id, result)
      }
      this.renewals += 1
      if (this.renewals % RENEWALS_PER_CHOICE !== 0 && takesRequests(server, clock.now())) {
        this.renew()
      } else {
        onQueued()
      }
    },
    [AdmissionOutcome.Rejected]: (server, result) => {
      const { log, exchange, clock, onRejected } = this.options
      log.admissionRejected(exchange, server.listed.id, result, this.requestedAt ?? clock.now(), clock.now())
      this.leaveQueue()
      onRejected(result.retryAt)
    },
    [AdmissionOutcome.NotOwner]: server => {
      const { admission, clock, onAdmitted, onRejected } = this.options
      this.leaveQueue()
      if (admission.claims.mayBypass(server)) {
        onAdmitted(server, false)
      } else {
        onRejected(clock.now() + UNDECIDED_RETRY_MS)
      }
    }
  }
}
