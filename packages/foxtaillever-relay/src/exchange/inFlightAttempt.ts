/** An attempt in flight. The load that it puts on its backend server counts until it is closed, which happens once. */
import type { AnswerHead, Attempt } from '../attempts/attempt.js'
import { runAll } from '../attempts/stepGuard.js'
import type { Transfer } from '../cache/fetchLoad.js'
import type { SendTerms } from '../model/wire.js'
import type { KnownServer } from '../servers/knownServer.js'
import type { ExchangeContext } from './exchangeContext.js'
import type { SilenceWatch } from './silenceWatch.js'

/** A server stops the run of a cancelled request within this, milliseconds. */
const MAX_CANCELLED_RUN_MS = 500

/** Time that a run hardly ever exceeds, as a multiple of the usual time until an answer begins. */
const USUAL_FACTOR = 2

export interface InFlightAttemptOptions {
  readonly attempt: Attempt
  readonly server: KnownServer
  readonly terms: SendTerms
  /** Tokens of the server's KV cache that the attempt occupies until it ends. */
  readonly heldTokens: number
  /** Prompt tokens from other instances that the server has yet to read. */
  readonly othersTokens: number
  /** Milliseconds of Unix time. */
  readonly beganAt: number
  /** Usual time until the answer to such a request begins, milliseconds; undefined when unknown. */
  readonly usualMs: number | undefined
  readonly watch: SilenceWatch
  /** Address of the instance that carries the request; undefined for none. */
  readonly forwarder: string | undefined
  readonly context: Pick<ExchangeContext, 'clock' | 'caches' | 'onSaved' | 'onLoadChanged' | 'paths' | 'isBrittle'>
}

export class InFlightAttempt {
  readonly attempt: Attempt
  readonly server: KnownServer
  readonly beganAt: number
  /** Prompt tokens of this attempt that the server has yet to read. */
  private unreadTokens: number
  /** Prompt tokens that the server had to read when the attempt was sent, its own included. */
  readonly tokensToRead: number
  private fetch: Transfer | undefined
  private endWait = (): void => {}
  /** When anything was last received, or the attempt began or was resumed; milliseconds of Unix time. */
  private lastActiveAt: number
  private isPaused = false
  /** Nothing was received for too long. */
  isSilent = false
  /** Undefined until the answer begins. */
  head: AnswerHead | undefined

  private constructor (private readonly options: InFlightAttemptOptions) {
    const { attempt, server, terms, beganAt, heldTokens } = options
    this.attempt = attempt
    this.server = server
    this.beganAt = beganAt
    // No other request waits behind a prompt that yields. If yielding prompts counted, those that pile up under overload would make all others yield too.
    this.unreadTokens = terms.isYielding ? 0 : terms.unreadTokens
    server.outstanding += 1
    server.stated.recordSent(beganAt)
    server.unreadTokens += this.unreadTokens
    this.tokensToRead = server.unreadTokens + options.othersTokens
    server.heldTokens += heldTokens
    this.lastActiveAt = beganAt
  }

  static open (options: InFlightAttemptOptions): InFlightAttempt {
    const inFlight = new InFlightAttempt(options)
    try {
      inFlight.announce()
    } catch (error) {
      inFlight.close(false)
      throw error
    }
    return inFlight
  }

  private announce (): void {
    const { context: { caches, paths, onLoadChanged }, terms, server, forwarder } = this.options
    this.fetch = caches.fetchLoad.beginTransfer(terms.fetchFrom, terms.fetchedTokens, terms.fetchUntil)
    if (forwarder === undefined) {
      this.endWait = paths.beginWait(server)
    }
    onLoadChanged(server)
  }

  get serverId (): string {
    return this.server.listed.id
  }

  /** Weights version that the server was expected to have; undefined for requests without a prompt. */
  get expectedWeights (): number | undefined {
    return this.options.terms.weightsVersion
  }

  /** Salt under which the server finds and caches the levels of the prompt; empty for requests without a prompt. */
  get cacheSalt (): string {
    return this.options.terms.cacheSalt
  }

  /** Whether requests that can still be in time go first. */
  get isYielding (): boolean {
    return this.options.terms.isYielding
  }

  /** Records that the answer has begun. */
  markBegun (): void {
    const { server, beganAt } = this
    server.newestAnsweredSentAt = Math.max(server.newestAnsweredSentAt, beganAt)
  }

  /**
   * Whether the server has begun answers to requests that were sent later. A
   * healthy engine may be silent for long while it reads large prompts or loads
   * weights; one that answers later requests first has lost this one.
   */
  get isOvertaken (): boolean {
    return this.server.newestAnsweredSentAt > this.beganAt
  }

  /** Whether the server changed its weights during the attempt, which explains a silence. */
  get isChanging (): boolean {
    return this.server.changingUntil > this.beganAt
  }

  /** Address of the instance that carries the request; undefined for none. */
  get forwarder (): string | undefined {
    return this.options.forwarder
  }

  /** When the server was last not silent, milliseconds of Unix time: a server that is not read from is not silent. */
  get activeAt (): number {
    return this.isPaused ? this.options.context.clock.now() : this.lastActiveAt
  }

  /** Stops reading from the server because the caller reads too slowly. */
  pause (): void {
    this.isPaused = true
    this.options.watch.pause()
    this.attempt.pause()
  }

  resume (): void {
    this.lastActiveAt = this.activeAt
    this.isPaused = false
    this.options.watch.resume()
    this.attempt.resume()
  }

  /** Fails the attempt if there is a reason why its answer is not accepted. */
  rejectIf (reason: string | undefined): void {
    if (reason !== undefined) {
      this.attempt.reject(reason)
    }
  }

  recordActivity (now: number): void {
    this.lastActiveAt = now
    this.options.watch.recordActivity()
  }

  /** Records the status with which an answer begins. By then the server has read the prompt. */
  recordStatus (status: number, now: number): void {
    const { terms, server, context } = this.options
    this.releaseUnreadPrompt()
    if (terms.savedLevel !== undefined && status < 300) {
      context.caches.savedLevels.confirmSave(terms.savedLevel, now)
      context.onSaved({ level: terms.savedLevel, home: server.hash })
    }
  }

  /**
   * Stops counting the attempt against its server.
   * @param mayStillRun whether the server may still run the request, because its answer was not awaited.
   */
  close (mayStillRun: boolean): void {
    const { server, terms: { savedLevel }, context, watch, heldTokens } = this.options
    let holdsSlot = false
    server.heldTokens -= heldTokens
    runAll(
      () => watch.stop(),
      () => this.endWait(),
      () => { holdsSlot = mayStillRun && context.isBrittle(server) },
      () => this.releaseSlot(holdsSlot),
      () => this.releaseUnreadPrompt(),
      () => {
        if (savedLevel !== undefined) {
          context.caches.savedLevels.releaseSave(savedLevel)
        }
      }
    )
  }

  private releaseSlot (isHeld: boolean): void {
    if (isHeld) {
      this.releaseSlotLater()
    } else {
      this.server.outstanding -= 1
    }
  }

  /** Another request in the slot of one that still runs would be rejected, and the server fails if it must reject a few. */
  private releaseSlotLater (): void {
    const { server, beganAt, usualMs = Infinity, context: { clock, onLoadChanged } } = this.options
    clock.at(Math.min(clock.now() + MAX_CANCELLED_RUN_MS, beganAt + USUAL_FACTOR * usualMs), () => {
      server.outstanding -= 1
      onLoadChanged(server)
    })
  }

  /** Stops counting the prompt as unread. */
  private releaseUnreadPrompt (): void {
    this.server.unreadTokens -= this.unreadTokens
    this.unreadTokens = 0
    const { caches, onLoadChanged } = this.options.context
    caches.fetchLoad.endTransfer(this.fetch)
    this.fetch = undefined
    onLoadChanged(this.server)
  }
}
