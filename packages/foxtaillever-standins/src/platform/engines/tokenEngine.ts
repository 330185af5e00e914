/**
 * A model engine of the users' platform: requests wait by priority for a place
 * and for memory, prompts are read in pieces between the tokens of others, and
 * every running request gets one token a step. It knows no network.
 */
import type { Cancellation, Clock } from 'foxtaillever-core'
import { PartCache, type CachedPart, type PromptPart } from './partCache.js'

export interface TokenEngineOptions {
  readonly slots: number
  /** Requests that may wait beyond those that run. */
  readonly mostWaiting: number
  readonly memoryTokens: number
  /** Time of a step without reading, milliseconds. */
  readonly stepMs: number
  readonly readTokensPerMs: number
  /** Prompt tokens read in one step at most. */
  readonly pieceTokens: number
}

/** Tokens that a link between engines or from a store moves in a millisecond: 360 Gbit/s at 192 KB a token. */
const FETCHED_TOKENS_PER_MS = 230

/** What the engine tells of a run. */
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
  /** 0 goes first. */
  readonly priority: number
  /** Tokens that the caller has already. */
  readonly resumeAfter: number
  readonly account: string
  /** Another cache to look in for what this engine lacks. */
  readonly fetchFrom?: PartCache
  /** Where parts go once they are read. */
  readonly saveTo?: PartCache
  readonly sink: TokenSink
}

/** A run that used a cached part, for oracles. */
export interface PartUse {
  readonly requestId: string
  readonly account: string
  /** Weights of the engine at that moment. */
  readonly weightsVersion: number
  readonly part: CachedPart
}

interface RunningRun {
  readonly run: TokenRun
  readonly order: number
  /** Parts are on their way until then, milliseconds of Unix time. */
  fetchedAt: number
  unread: number
  produced: number
  hasStarted: boolean
}

export class TokenEngine {
  readonly cache = PartCache.create()
  /** Prompt tokens read since the start, for oracles. */
  tokensRead = 0
  /** Cached parts that runs built on. */
  readonly uses: PartUse[] = []
  private waiting: RunningRun[] = []
  private running: RunningRun[] = []
  private order = 0
  private cancelStep: Cancellation | undefined

  private constructor (readonly options: TokenEngineOptions, private readonly clock: Clock, private readonly versionOf: (model: string) => number) {}

  /** @param versionOf which weights of a model are loaded at the moment. */
  static create (options: TokenEngineOptions, clock: Clock, versionOf: (model: string) => number = () => 0): TokenEngine {
    return new TokenEngine(options, clock, versionOf)
  }

  get active (): number {
    return this.running.length
  }

  get queued (): number {
    return this.waiting.length
  }

  /** Memory that cannot yield, tokens. */
  get usedTokens (): number {
    return this.running.reduce((sum, { run, produced }) => sum + run.promptTokens + produced, 0)
  }

  /** Returns whether the request is taken; one that is not has not run. */
  submit (run: TokenRun): boolean {
    const { slots, mostWaiting, memoryTokens } = this.options
    const isFull = this.running.length + this.waiting.length >= slots + mostWaiting
    if (isFull || run.promptTokens + run.outputTokens > memoryTokens) {
      return false
    }
    this.waiting.push({ run, order: this.order++, fetchedAt: 0, unread: 0, produced: run.resumeAfter, hasStarted: false })
    this.waiting.sort((one, other) => one.run.priority - other.run.priority || one.order - other.order)
    this.wake()
    return true
  }

  cancel (requestId: string): void {
    const isOther = ({ run }: RunningRun): boolean => run.requestId !== requestId
    this.waiting = this.waiting.filter(isOther)
    this.running = this.running.filter(isOther)
  }

  clear (): void {
    this.waiting = []
    this.running = []
    this.cancelStep?.()
    this.cancelStep = undefined
  }

  private wake (): void {
    if (!this.cancelStep) {
      this.cancelStep = this.clock.at(this.clock.now(), () => this.step(0))
    }
  }

  /** @param read prompt tokens that this step has read. */
  private step (read: number): void {
    this.cancelStep = undefined
    this.tokensRead += read
    this.produce()
    this.admit()
    if (this.running.length === 0) {
      return
    }
    const next = this.readPiece()
    const { stepMs, readTokensPerMs } = this.options
    this.cancelStep = this.clock.at(this.clock.now() + stepMs + next / readTokensPerMs, () => this.step(next))
  }

  private admit (): void {
    const { slots, memoryTokens } = this.options
    for (let next = this.waiting[0]; next; next = this.waiting[0]) {
      const { run } = next
      if (this.running.length >= slots || this.usedTokens + run.promptTokens + run.outputTokens > memoryTokens) {
        return
      }
      this.waiting.shift()
      next.unread = Math.max(1, run.promptTokens - this.find(next))
      this.running.push(next)
      this.cache.shrink(memoryTokens - this.usedTokens)
    }
  }

  /** Tokens of the prompt that are here or on their way. */
  private find (running: RunningRun): number {
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

  /** The prompt is read; its parts are of the weights that are loaded now. */
  private keep ({ salt, model, parts, account, saveTo }: TokenRun): void {
    const maker = { account, weightsVersion: this.versionOf(model) }
    const read = parts.map(part => ({ ...part, salt, model, maker }))
    this.cache.add(read)
    saveTo?.add(read)
  }

  /** Takes up to a piece of the prompts that wait to be read; returns its tokens. */
  private readPiece (): number {
    let left = this.options.pieceTokens
    const now = this.clock.now()
    for (const running of this.running.filter(({ fetchedAt }) => fetchedAt <= now)) {
      const piece = Math.min(left, running.unread)
      running.unread -= piece
      left -= piece
      if (piece > 0 && running.unread === 0) {
        this.keep(running.run)
      }
    }
    return this.options.pieceTokens - left
  }

  private produce (): void {
    for (const running of this.running.filter(({ unread }) => unread === 0)) {
      const { run } = running
      if (!running.hasStarted) {
        running.hasStarted = true
        run.sink.started()
      }
      if (running.produced < run.outputTokens) {
        running.produced += 1
        run.sink.token(running.produced)
      }
      if (running.produced >= run.outputTokens) {
        this.running = this.running.filter(other => other !== running)
        run.sink.finished()
      }
    }
  }
}

function sumOf (parts: readonly PromptPart[]): number {
  return parts.reduce((sum, { tokens }) => sum + tokens, 0)
}
