/**
 * Waits for admission of one request at the backend server that was chosen for it.
 * While it waits, its server is chosen again at every second renewal, and at once when
 * the server takes no more requests, so that it leaves the queue of a server that fails,
 * or takes the room of another. It stays in the queue of a server that takes requests again
 * in a moment until the owner of another queue has given it a place.
 */
import type { Clock } from 'foxtaillever-core'
import type { Exchange } from '../model/exchange.js'
import { availableFrom } from '../servers/serverAvailability.js'
import type { KnownServer } from '../servers/knownServer.js'
import type { RelayLog } from '../telemetry/relayLog.js'
import type { AdmissionClaims } from './admissionClaims.js'
import { AdmissionOutcome } from './admissionMessage.js'
import type { AdmissionClaim, AdmissionProtocol, AdmissionResult, PendingAdmission } from './admissionProtocol.js'

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
  readonly log: Pick<RelayLog, 'admissionQueued' | 'admittedAfterWaiting' | 'admissionRejected' | 'moveRejected'>
  readonly exchange: Exchange
  /** @param isAdmitted by the owner of the server's queue; false where no instance decided. */
  readonly onAdmitted: (server: KnownServer, isAdmitted: boolean) => void
  /** @param retryAt when there will be room, milliseconds of Unix time. */
  readonly onRejected: (retryAt: number) => void
  /** The request still waits; its server is to be chosen again. */
  readonly onQueued: () => void
  /** The server that was chosen again rejected the request, which goes on waiting where it is. */
  readonly onMoveRejected: () => void
}

/** A place in the queue of a server. */
interface QueuePlace {
  readonly server: KnownServer
  readonly claim: AdmissionClaim
  /** Undefined until the call that asks for the place has returned. */
  pending: PendingAdmission | undefined
  /** Since the server was chosen. */
  renewals: number
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
  /** Where the request waits. */
  private place: QueuePlace | undefined
  /** Asked for while the request keeps its place, and taken instead of it once the owner has queued or admitted the request. */
  private nextPlace: QueuePlace | undefined
  /** The place whose admission was granted last. */
  private admitted: QueuePlace | undefined
  /** Hashes of the servers to whose queues the request could not move. */
  private readonly rejectedBy = new Set<number>()
  /** When the request first asked for admission, milliseconds of Unix time. */
  private requestedAt: number | undefined
  private wasQueued = false

  private constructor (private readonly options: RequestAdmissionOptions) {}

  static create (options: RequestAdmissionOptions): RequestAdmission {
    return new RequestAdmission(options)
  }

  /** Whether the request was queued and its server is to be chosen again. */
  get isWaiting (): boolean {
    return this.place !== undefined
  }

  /** The server in whose queue the request waits, if it takes requests again in a moment, and in time for the request to begin. */
  get serverToKeep (): KnownServer | undefined {
    const { place, options: { clock } } = this
    const isKept = place && takesRequestsFrom(place.server) <= Math.min(clock.now() + MAX_BLOCKED_MS, place.claim.latestStartAt)
    return isKept ? place.server : undefined
  }

  /** Whether the request asked for a place at the server in vain, which it does once only. */
  wasRejectedBy ({ hash }: KnownServer): boolean {
    return this.rejectedBy.has(hash)
  }

  /**
   * Asks for admission at the server; after `onQueued` it renews the claim there, or moves it.
   * @param keepsPlace whether the request keeps its place elsewhere until it has one at the server.
   */
  request (server: KnownServer, keepsPlace: boolean): void {
    const { admission, clock, exchange } = this.options
    if (this.place?.server === server) {
      this.renew()
      return
    }
    const claim = admission.claims.claimFor(exchange, server)
    if (claim === undefined || !keepsPlace) {
      this.cancel()
    }
    this.admitted = undefined
    if (claim === undefined) {
      this.options.onAdmitted(server, false)
      return
    }
    this.requestedAt ??= clock.now()
    const place: QueuePlace = { server, claim, pending: undefined, renewals: 0 }
    if (this.place) {
      this.nextPlace = place
    } else {
      this.place = place
    }
    this.askFor(place)
  }

  /** Goes on waiting in the same queue, after `onQueued`. */
  renew (): void {
    const { place } = this
    place?.pending?.renew(result => this.handleResult(place, result))
  }

  /** Withdraws the request from all queues. */
  cancel (): void {
    this.place?.pending?.cancel()
    this.nextPlace?.pending?.cancel()
    this.leaveQueues()
  }

  /** Returns an admission at the server that is not used, so that its owner admits another request. */
  returnAdmission (server: KnownServer): void {
    if (this.admitted?.server === server) {
      this.admitted.pending?.cancel()
      this.admitted = undefined
    }
  }

  private askFor (place: QueuePlace): void {
    // An owner that is this instance may decide before the call returns.
    let earlyResult: AdmissionResult | undefined
    place.pending = this.options.admission.protocol.request(place.claim, result => {
      if (place.pending) {
        this.handleResult(place, result)
      } else {
        earlyResult = result
      }
    }, () => this.moveTo(place))
    if (earlyResult) {
      this.handleResult(place, earlyResult)
    }
  }

  /** The owner has queued or admitted the request at the place: it leaves the queue where it waited until now. */
  private moveTo (place: QueuePlace): void {
    if (place === this.nextPlace) {
      this.place?.pending?.cancel()
      this.place = place
      this.nextPlace = undefined
    }
  }

  private leaveQueues (): void {
    this.place = undefined
    this.nextPlace = undefined
  }

  /** The request cannot move to the place that it asked for: it keeps the one that it has. Returns whether it has one. */
  private stay ({ server }: QueuePlace, result: AdmissionResult): boolean {
    const { options: { log, exchange, onMoveRejected }, place, nextPlace } = this
    if (place === undefined || nextPlace?.server !== server) {
      return false
    }
    log.moveRejected(exchange, place.server.listed.id, server.listed.id, result)
    this.rejectedBy.add(server.hash)
    this.nextPlace = undefined
    onMoveRejected()
    this.renew()
    return true
  }

  private handleResult (place: QueuePlace, result: AdmissionResult): void {
    this.handlers[result.outcome](place, result)
  }

  private readonly handlers: Readonly<Record<AdmissionOutcome, (place: QueuePlace, result: AdmissionResult) => void>> = {
    [AdmissionOutcome.Admitted]: (place, result) => {
      const { log, exchange, clock, onAdmitted } = this.options
      const { server } = place
      this.moveTo(place)
      if (this.wasQueued) {
        log.admittedAfterWaiting(exchange, server.listed.id, result, this.requestedAt ?? clock.now(), clock.now())
      }
      this.admitted = place
      this.leaveQueues()
      onAdmitted(server, true)
    },
    [AdmissionOutcome.Queued]: (place, result) => {
      const { log, exchange, clock, onQueued } = this.options
      const { server } = place
      this.moveTo(place)
      if (!this.wasQueued) {
        this.wasQueued = true
        log.admissionQueued(exchange, server.listed.id, result)
      }
      place.renewals += 1
      if (place.renewals % RENEWALS_PER_CHOICE !== 0 && takesRequests(server, clock.now())) {
        this.renew()
      } else {
        onQueued()
      }
    },
    [AdmissionOutcome.Rejected]: (place, result) => {
      const { log, exchange, clock, onRejected } = this.options
      if (this.stay(place, result)) {
        return
      }
      log.admissionRejected(exchange, place.server.listed.id, result, this.requestedAt ?? clock.now(), clock.now())
      this.leaveQueues()
      onRejected(result.retryAt)
    },
    [AdmissionOutcome.NotOwner]: (place, result) => {
      const { admission, clock, onAdmitted, onRejected } = this.options
      const mayBypass = admission.claims.mayBypass(place.server)
      if (!mayBypass && this.stay(place, result)) {
        return
      }
      this.moveTo(place)
      this.leaveQueues()
      if (mayBypass) {
        onAdmitted(place.server, false)
      } else {
        onRejected(clock.now() + UNDECIDED_RETRY_MS)
      }
    }
  }
}
