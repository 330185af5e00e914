/** A try on its way: the load that it puts on its backend server is counted until it is closed, once. */
import type { SavedLevels } from 'foxtaillever-policy/relay/savedLevels'
import type { Attempt } from '../attempts/attempt.js'
import type { Exchange } from '../model/exchange.js'
import type { SendTerms } from '../model/wire.js'
import type { KnownServer } from '../servers/knownServer.js'
import type { SilenceWatch } from './silenceWatch.js'

export interface OpenTryOptions {
  readonly attempt: Attempt
  readonly server: KnownServer
  readonly exchange: Exchange
  readonly terms: SendTerms
  readonly savedLevels: SavedLevels
  /** Milliseconds of Unix time. */
  readonly beganAt: number
  readonly watch: SilenceWatch
}

export class OpenTry {
  readonly attempt: Attempt
  readonly server: KnownServer
  readonly beganAt: number
  /** Prompt tokens, which the server has yet to read. */
  private readonly tokens: number

  private constructor (private readonly options: OpenTryOptions) {
    const { attempt, server, exchange, beganAt } = options
    this.attempt = attempt
    this.server = server
    this.beganAt = beganAt
    this.tokens = exchange.prompt?.promptTokens ?? 0
    server.outstanding += 1
    server.outstandingTokens += this.tokens
  }

  static open (options: OpenTryOptions): OpenTry {
    return new OpenTry(options)
  }

  get serverId (): string {
    return this.server.listed.id
  }

  hear (): void {
    this.options.watch.hear()
  }

  /** An answer begins with this status; with it, the server has read the prompt. */
  observeStatus (status: number, now: number): void {
    const { terms, savedLevels } = this.options
    if (terms.savedLevel !== undefined && status < 300) {
      savedLevels.confirm(terms.savedLevel, now)
    }
  }

  /** The server is free of it. */
  close (): void {
    const { server, terms, savedLevels, watch } = this.options
    watch.stop()
    server.outstanding -= 1
    server.outstandingTokens -= this.tokens
    if (terms.savedLevel !== undefined) {
      savedLevels.giveBack(terms.savedLevel)
    }
  }
}
