/** Runs requests of the users' platform on a token engine, and answers its calls about load, cache and weights. */
import type { IncomingMessage } from 'node:http'
import type { Clock } from 'foxtaillever-core'
import type { Runner } from './backendServer.js'
import type { PartCache, PromptPart } from './partCache.js'
import { headerOf, type AnswerWriter } from './answerWriter.js'
import { TokenEngine, type TokenEngineOptions } from './tokenEngine.js'
import { WeightOrders, type WeightOrderBody } from './weightOrders.js'

/** How often a long poll for cache changes checks for them, milliseconds. */
const POLL_INTERVAL_MS = 10

/** Longest duration of such a long poll, milliseconds. */
const MAX_WAIT_MS = 1000

/** Cache salt of requests without one, shared by all accounts. */
const COMMON_SALT = 'common'

const MIDDLE_PRIORITY = 5

export interface EngineRunnerOptions {
  readonly clock: Clock
  readonly engine: TokenEngineOptions
  /** Calls for cache changes that may be open at the same time. */
  readonly maxEventCalls: number
  readonly loadMs: number
  readonly isNamed: (model: string, version: number) => boolean
  readonly onLoaded: () => void
  /** Cache of the engine or cache store at an address, if it is running. */
  readonly cacheAt?: (address: string) => PartCache | undefined
}

function readParts (text: string): PromptPart[] {
  return text.split(',').filter(entry => entry !== '').map(entry => {
    const [id = '', tokens] = entry.split(':')
    return { id, tokens: Number(tokens) }
  })
}

/** The text depends on the prompt alone, so that any server can continue an answer where another one stopped. */
export function eventText (prefix: string, number: number): string {
  return `${prefix.split(',').at(-1) ?? ''}#${number}`
}

export class EngineRunner implements Runner {
  readonly engine: TokenEngine
  readonly orders: WeightOrders
  readonly calls: Runner['calls']
  private bootEpoch = 1
  private openEventCalls = 0

  private constructor (private readonly options: EngineRunnerOptions) {
    const { clock, engine, loadMs, isNamed, onLoaded } = options
    this.engine = TokenEngine.create(engine, clock, model => this.orders.versions.get(model) ?? 0)
    this.orders = WeightOrders.create({
      clock,
      loadMs,
      isNamed,
      isIdle: () => this.engine.active + this.engine.queued === 0,
      isPaused: () => this.engine.isPaused,
      onLoaded: model => {
        this.engine.cache.dropModel(model)
        onLoaded()
      }
    })
    this.calls = {
      'GET /report': async () => ({ status: 200, body: this.createReport() }),
      'POST /order': async (_, body) => ({ status: this.orders.handleOrder(JSON.parse(body.toString()) as WeightOrderBody) }),
      'GET /kv-events': async request => await this.answerEventsCall(request),
      'GET /kv-list': async () => ({ status: 200, body: { boot_epoch: this.bootEpoch, next: this.engine.cache.changesSince(Infinity).next, held: this.engine.cache.list() } })
    }
  }

  static create (options: EngineRunnerOptions): EngineRunner {
    return new EngineRunner(options)
  }

  admit (request: IncomingMessage): number | undefined {
    const expected = headerOf(request, 'x-expect-version')
    if (this.orders.isBusy) {
      return 503
    }
    return expected !== '' && Number(expected) !== this.orders.versions.get(headerOf(request, 'x-model')) ? 421 : undefined
  }

  run (request: IncomingMessage, writer: AnswerWriter, onRunStarted: () => void): boolean {
    const requestId = headerOf(request, 'x-request-id')
    const model = headerOf(request, 'x-model')
    const prefix = headerOf(request, 'x-prompt-prefix')
    const [promptTokens = 0, outputTokens = 0] = headerOf(request, 'x-token-counts').split(',').map(Number)
    let isWritten = false
    return this.engine.submit({
      requestId,
      model,
      salt: headerOf(request, 'x-cache-salt') || COMMON_SALT,
      parts: readParts(prefix),
      promptTokens,
      outputTokens,
      priority: Number(headerOf(request, 'x-request-priority') || MIDDLE_PRIORITY),
      resumeAfter: Number(headerOf(request, 'last-event-id') || 0),
      account: headerOf(request, 'x-tenant'),
      fetchFrom: this.cacheAt(headerOf(request, 'x-kv-fetch')),
      saveTo: this.cacheAt(headerOf(request, 'x-kv-save')),
      sink: {
        started: () => {
          onRunStarted()
          isWritten = writer.begin(200, { 'Content-Type': 'text/event-stream', 'X-Weight-Versions': this.orders.versions.get(model) ?? 0 })
        },
        token: number => isWritten && writer.event(number, eventText(prefix, number)),
        finished: () => isWritten && writer.end()
      }
    })
  }

  cancel (requestId: string): void {
    this.engine.cancel(requestId)
  }

  setMaxWaiting (count: number): void {
    this.engine.maxWaiting = count
  }

  reset (): void {
    this.engine.clear()
    this.engine.cache.shrink(0)
    this.orders.reset()
    this.bootEpoch += 1
  }

  models (): ReadonlyArray<{ readonly name: string, readonly version: number, readonly adapters: readonly string[] }> {
    return [...this.orders.versions].map(([name, version]) => ({ name, version, adapters: [] }))
  }

  private cacheAt (address: string): PartCache | undefined {
    return address === '' ? undefined : this.options.cacheAt?.(address)
  }

  private createReport (): object {
    const { active, queued, usedTokens, options } = this.engine
    return {
      stage: 'both', models: this.models(), busy: this.orders.isBusy, seq: this.orders.sequence, queued, active, kv_used: usedTokens, kv_total: options.memoryTokens, handles: 0
    }
  }

  private async answerEventsCall (request: IncomingMessage): Promise<{ status: number, body?: object }> {
    const { clock, maxEventCalls } = this.options
    if (this.openEventCalls >= maxEventCalls) {
      return { status: 429 }
    }
    this.openEventCalls += 1
    const since = Number(new URL(request.url ?? '', 'http://engine').searchParams.get('since') ?? 0)
    const until = clock.now() + Math.min(MAX_WAIT_MS, Number(headerOf(request, 'wait-ms') || 0))
    while (this.engine.cache.changesSince(since).next <= since && clock.now() < until) {
      await new Promise<void>(resolve => clock.at(clock.now() + POLL_INTERVAL_MS, resolve))
    }
    this.openEventCalls -= 1
    return { status: 200, body: { boot_epoch: this.bootEpoch, ...this.engine.cache.changesSince(since) } }
  }
}
