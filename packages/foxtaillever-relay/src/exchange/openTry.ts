/** A try on its way: the load that it puts on its backend server is counted until it is closed, once. */
import type { Attempt } from '../attempts/attempt.js'
import type { KnownServer } from '../servers/knownServer.js'
import type { SilenceWatch } from './silenceWatch.js'

export interface OpenTryOptions {
  readonly attempt: Attempt
  readonly server: KnownServer
  /** Prompt tokens, which the server has yet to read. */
  readonly tokens: number
  /** Milliseconds of Unix time. */
  readonly beganAt: number
  readonly watch: SilenceWatch
}

export class OpenTry {
  readonly attempt: Attempt
  readonly server: KnownServer
  readonly beganAt: number

  private constructor (private readonly options: OpenTryOptions) {
    const { attempt, server, tokens, beganAt } = options
    this.attempt = attempt
    this.server = server
    this.beganAt = beganAt
    server.outstanding += 1
    server.outstandingTokens += tokens
  }

  static open (options: OpenTryOptions): OpenTry {
    return new OpenTry(options)
  }

  get serverId (): string {
    return this.server.listed.id
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

  /** The server is free of it. */
  close (): void {
    const { server, tokens, watch } = this.options
    watch.stop()
    server.outstanding -= 1
    server.outstandingTokens -= tokens
  }
}
