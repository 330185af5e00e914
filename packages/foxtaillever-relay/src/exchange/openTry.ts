/** A try on its way: the load that it puts on its backend server is counted until it is closed, once. */
import type { Attempt } from '../attempts/attempt.js'
import type { Transfer } from '../cache/fetchLoad.js'
import type { SendTerms } from '../model/wire.js'
import type { KnownServer } from '../servers/knownServer.js'
import type { ExchangeContext } from './exchangeContext.js'
import type { SilenceWatch } from './silenceWatch.js'

export interface OpenTryOptions {
  readonly attempt: Attempt
  readonly server: KnownServer
  readonly terms: SendTerms
  /** Tokens of the server's memory that it takes until its end. */
  readonly heldTokens: number
  /** Prompt tokens of the other instances that the server has yet to read. */
  readonly othersTokens: number
  /** Milliseconds of Unix time. */
  readonly beganAt: number
  readonly watch: SilenceWatch
  readonly context: Pick<ExchangeContext, 'caches' | 'onSaved' | 'onLoadChanged'>
}

export class OpenTry {
  readonly attempt: Attempt
  readonly server: KnownServer
  readonly beganAt: number
  /** Prompt tokens that the server has yet to read. */
  private unreadTokens: number
  /** Those before it and its own when it was sent. */
  readonly tokensToRead: number
  private fetch: Transfer | undefined

  private constructor (private readonly options: OpenTryOptions) {
    const { attempt, server, terms, beganAt, heldTokens } = options
    this.attempt = attempt
    this.server = server
    this.beganAt = beganAt
    // Nobody else waits for a prompt that yields. Counted, those that gather under overload would make all others yield too.
    this.unreadTokens = terms.isYielding ? 0 : terms.unreadTokens
    server.outstanding += 1
    server.stated.recordSent(beganAt)
    server.unreadTokens += this.unreadTokens
    this.tokensToRead = server.unreadTokens + options.othersTokens
    server.heldTokens += heldTokens
    this.fetch = options.context.caches.fetchLoad.begin(terms.fetchFrom, terms.fetchedTokens, terms.fetchUntil)
    options.context.onLoadChanged()
  }

  static open (options: OpenTryOptions): OpenTry {
    return new OpenTry(options)
  }

  get serverId (): string {
    return this.server.listed.id
  }

  /** Weights that the server was thought to have; undefined for requests without a prompt. */
  get expectedWeights (): number | undefined {
    return this.options.terms.weightsVersion
  }

  /** Requests that can still be in time go before it. */
  get isYielding (): boolean {
    return this.options.terms.isYielding
  }

  /** The answer has begun. */
  begin (): void {
    const { server, beganAt } = this
    server.newestBegun = Math.max(server.newestBegun, beganAt)
  }

  /**
   * Whether answers to requests that were sent later have begun. An engine that
   * reads large prompts or loads weights may be silent for long and well; one
   * that passes a request over has lost it.
   */
  get isOvertaken (): boolean {
    return this.server.newestBegun > this.beganAt
  }

  /** Whether the server changed its weights meanwhile, which explains a silence. */
  get isChanging (): boolean {
    return this.server.changingUntil > this.beganAt
  }

  hear (): void {
    this.options.watch.hear()
  }

  /** An answer begins with this status; with it, the server has read the prompt. */
  observeStatus (status: number, now: number): void {
    const { terms, server, context } = this.options
    this.release()
    if (terms.savedLevel !== undefined && status < 300) {
      context.caches.savedLevels.confirmSave(terms.savedLevel, now)
      context.onSaved({ level: terms.savedLevel, home: server.hash })
    }
  }

  /** The server is free of it. */
  close (): void {
    const { server, terms, context, watch, heldTokens } = this.options
    watch.stop()
    server.outstanding -= 1
    server.heldTokens -= heldTokens
    this.release()
    if (terms.savedLevel !== undefined) {
      context.caches.savedLevels.releaseSave(terms.savedLevel)
    }
  }

  /** Nothing of the prompt is left to read. */
  private release (): void {
    this.server.unreadTokens -= this.unreadTokens
    this.unreadTokens = 0
    const { caches, onLoadChanged } = this.options.context
    caches.fetchLoad.end(this.fetch)
    this.fetch = undefined
    onLoadChanged()
  }
}
