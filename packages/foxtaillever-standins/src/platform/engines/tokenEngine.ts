/**
 * Model of an engine of the users' platform, without a network. Requests wait by
 * priority for a slot and for memory, prompts are prefilled in chunks between the
 * decode steps of other requests, and each running request gets one token a step.
 */
import type { Cancellation, Clock } from 'foxtaillever-core'
import { PartCache, type CachedPart, type PromptPart } from './partCache.js'

export interface TokenEngineOptions {
  readonly slots: number
  /** Requests that may wait in addition to those that run. */
  readonly maxWaiting: number
  readonly memoryTokens: number
  /** Duration of a step without prefill, milliseconds. */
  readonly stepMs: number
  readonly prefillTokensPerMs: number
  /** Most prompt tokens prefilled in one step. */
  readonly chunkTokens: number
}

/** Tokens that a link between engines or from a cache store transfers in a millisecond: 360 Gbit/s at 192 KB a token. */
const FETCHED_TOKENS_PER_MS = 230

/** Receives the events of a run. */
export interface TokenSink {
  readonly started: () => void
  /** @param number counted from 1 over all runs of the request. */
  readonly token: (number: number) => void
  readonly finished: () => void
}

export interface TokenRun {
  readonly requestId: string
  readonly model: string
  readonly salt: string
  readonly parts: readonly PromptPart[]
  readonly promptTokens: number
  readonly outputTokens: number
  /** 0 is the most urgent. */
  readonly priority: number
  /** Tokens that the caller has already received. */
  readonly resumeAfter: number
  readonly account: string
  /** Another cache from which parts that this engine lacks are fetched. */
  readonly fetchFrom?: PartCache
  /** Another cache to which parts are added once they are prefilled. */
  readonly saveTo?: PartCache
  readonly sink: TokenSink
}

/** A run that used a cached part, for oracles. */
export interface PartUse {
  readonly requestId: string
  readonly account: string
  /** Weights of the engine at that time. */
  readonly weightsVersion: number
  readonly part: CachedPart
}

interface ScheduledRun {
  readonly run: TokenRun
  readonly order: number
  /** When the fetched parts have arrived, milliseconds of Unix time. */
  fetchedAt: number
  tokensToPrefill: number
  producedTokens: number
  hasStarted: boolean
}

export class TokenEngine {
  readonly cache = PartCache.create()
  /** Prompt tokens prefilled since the start, for oracles. */
  prefilledTokens = 0
  /** Cached parts that runs used. */
  readonly uses: PartUse[] = []
  /** Requests that may wait in addition to those that run. */
  maxWaiting: number
  private waiting: ScheduledRun[] = []
  private running: ScheduledRun[] = []
  private order = 0
  private cancelStep: Cancellation | undefined
  /** No step ends before this, milliseconds of Unix time. */
  private pausedUntil = 0

  private constructor (readonly options: TokenEngineOptions, private readonly clock: Clock, private readonly versionOf: (model: string) => number) {
    this.maxWaiting = options.maxWaiting
  }

  /** @param versionOf returns the version of a model's weights that is loaded now. */
  static create (options: TokenEngineOptions, clock: Clock, versionOf: (model: string) => number = () => 0): TokenEngine {
    return new TokenEngine(options, clock, versionOf)
  }

  get active (): number {
    return this.running.length
  }

  get queued (): number {
    return this.waiting.length
  }

  /** Memory of running requests, which cannot be freed, tokens. */
  get usedTokens (): number {
    return this.running.reduce((sum, { run, producedTokens }) => sum + run.promptTokens + producedTokens, 0)
  }

  /** Returns whether the request is accepted; a refused request has not run. */
  submit (run: TokenRun): boolean {
    const { slots, memoryTokens } = this.options
    const isFull = this.running.length + this.waiting.length >= slots + this.maxWaiting
    if (isFull || run.promptTokens + run.outputTokens > memoryTokens) {
      return false
    }
    this.waiting.push({ run, order: this.order++, fetchedAt: 0, tokensToPrefill: 0, producedTokens: run.resumeAfter, hasStarted: false })
    this.waiting.sort((a, b) => a.run.priority - b.run.priority || a.order - b.order)
    this.scheduleStep()
    return true
  }

  cancel (requestId: string): void {
    const isOther = ({ run }: ScheduledRun): boolean => run.requestId !== requestId
    this.waiting = this.waiting.filter(isOther)
    this.running = this.running.filter(isOther)
  }

  /** Holds all runs until a time, milliseconds of Unix time; they go on afterwards. */
  pauseUntil (until: number): void {
    this.pausedUntil = until
  }

  get isPaused (): boolean {
    return this.clock.now() < this.pausedUntil
  }

  clear (): void {
    this.waiting = []
    this.running = []
    this.pausedUntil = 0
    this.cancelStep?.()
    this.cancelStep = undefined
  }

  private scheduleStep (): void {
    if (!this.cancelStep) {
      this.cancelStep = this.clock.at(this.clock.now(), () => this.step(0))
    }
  }

  /** @param prefilled prompt tokens that this step has prefilled. */
  private step (prefilled: number): void {
    this.cancelStep = undefined
    if (this.isPaused) {
      this.cancelStep = this.clock.at(this.pausedUntil, () => this.step(prefilled))
      return
    }
    this.prefilledTokens += prefilled
    this.produceTokens()
    this.admitWaiting()
    if (this.running.length === 0) {
      return
    }
    const next = this.prefillChunk()
    const { stepMs, prefillTokensPerMs } = this.options
    this.cancelStep = this.clock.at(this.clock.now() + stepMs + next / prefillTokensPerMs, () => this.step(next))
  }

  private admitWaiting (): void {
    const { slots, memoryTokens } = this.options
    for (let next = this.waiting[0]; next; next = this.waiting[0]) {
      const { run } = next
      if (this.running.length >= slots || this.usedTokens + run.promptTokens + run.outputTokens > memoryTokens) {
        return
      }
      this.waiting.shift()
      next.tokensToPrefill = Math.max(1, run.promptTokens - this.findCachedTokens(next))
      this.running.push(next)
      this.cache.shrink(memoryTokens - this.usedTokens)
    }
  }

  /** Returns the tokens of the prompt that are cached here or are being fetched. */
  private findCachedTokens (running: ScheduledRun): number {
    const { requestId, account, salt, model, parts, fetchFrom } = running.run
    const own = this.cache.match(salt, model, parts)
    const fetched = fetchFrom?.match(salt, model, parts).slice(own.length) ?? []
    this.cache.add(fetched)
    running.fetchedAt = this.clock.now() + sumOf(fetched) / FETCHED_TOKENS_PER_MS
    const used = [...own, ...fetched]
    const weightsVersion = this.versionOf(model)
    used.forEach(part => this.uses.push({ requestId, account, weightsVersion, part }))
    return sumOf(used)
  }

  /** Caches the parts of a prefilled prompt, with the weights that are loaded now. */
  private cachePrompt ({ salt, model, parts, account, saveTo }: TokenRun): void {
    const origin = { account, weightsVersion: this.versionOf(model) }
    const prefilled = parts.map(part => ({ ...part, salt, model, origin }))
    this.cache.add(prefilled)
    saveTo?.add(prefilled)
  }

  /** Prefills up to a chunk of the waiting prompts; returns its tokens. */
  private prefillChunk (): number {
    let left = this.options.chunkTokens
    const now = this.clock.now()
    for (const running of this.running.filter(({ fetchedAt }) => fetchedAt <= now)) {
      const chunk = Math.min(left, running.tokensToPrefill)
      running.tokensToPrefill -= chunk
      left -= chunk
      if (chunk > 0 && running.tokensToPrefill === 0) {
        this.cachePrompt(running.run)
      }
    }
    return this.options.chunkTokens - left
  }

  private produceTokens (): void {
    for (const running of this.running.filter(({ tokensToPrefill }) => tokensToPrefill === 0)) {
      const { run } = running
      if (!running.hasStarted) {
        running.hasStarted = true
        run.sink.started()
      }
      if (running.producedTokens < run.outputTokens) {
        running.producedTokens += 1
        run.sink.token(running.producedTokens)
      }
      if (running.producedTokens >= run.outputTokens) {
        this.running = this.running.filter(other => other !== running)
        run.sink.finished()
      }
    }
  }
}

function sumOf (parts: readonly PromptPart[]): number {
  return parts.reduce((sum, { tokens }) => sum + tokens, 0)
}
