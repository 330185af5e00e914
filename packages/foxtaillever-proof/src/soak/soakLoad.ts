/**
 * The soak's callers, an open-loop load. A failed request may be retried through
 * another instance. Some requests are orders with an idempotency key; some of
 * these are sent twice at once.
 */
import { exponential, waitUntil, type Clock, type Random } from 'foxtaillever-core'
import { Agent } from 'undici'
import { SoakOutcome, sendAttempt, type SoakResult, type SoakAttempt } from './soakCaller.js'
import { apiKeysByAccount, ENTRIES, type SoakDeployment } from './soakDeployment.js'
import { SoakPromise, type SoakOracle } from './soakOracle.js'

export interface LoadOptions {
  readonly deployment: SoakDeployment
  readonly oracle: SoakOracle
  readonly random: Random
  readonly clock: Clock
  readonly requestsPerSecond: number
}

interface RequestDraft {
  readonly account: string
  readonly prompt: string
  readonly tokens: number
  readonly timeoutMs: number
  readonly idempotencyKey: string | undefined
}

const ORDER_SHARE = 0.3
const DUPLICATE_SHARE = 0.1
const RETRY_SHARE = 0.7
const MAX_ATTEMPTS = 4
const MAX_RETRY_DELAY_MS = 2000
const MAX_TOKENS = 20
const PROMPT_COUNT = 40

/** How long after its deadline a request may still end, milliseconds: allows for a timer tick and a busy machine. */
const ANSWER_GRACE_MS = 3000

/** Timeout of the HTTP client, longer than the router may take for any request, milliseconds. */
const CLIENT_TIMEOUT_MS = 30_000

export class SoakLoad {
  /** When a fault last hit each instance, milliseconds of Unix time. */
  private readonly disturbedAt = Array.from({ length: ENTRIES }, () => 0)
  private readonly drainedAt = Array.from({ length: ENTRIES }, () => 0)
  private readonly dispatcher = new Agent({ connections: 500, headersTimeout: CLIENT_TIMEOUT_MS, bodyTimeout: CLIENT_TIMEOUT_MS })
  private isRunning = true
  private orderCount = 0
  inFlight = 0

  private constructor (private readonly options: LoadOptions) {}

  static create (options: LoadOptions): SoakLoad {
    return new SoakLoad(options)
  }

  recordDisturbance (entry: number): void {
    this.disturbedAt[entry] = this.options.clock.now()
  }

  recordDrain (entry: number): void {
    this.drainedAt[entry] = this.options.clock.now()
  }

  async run (): Promise<void> {
    const { clock, random, requestsPerSecond } = this.options
    let nextArrivalAt = clock.now()
    while (this.isRunning) {
      nextArrivalAt += exponential(random, 1000 / requestsPerSecond)
      await waitUntil(clock, nextArrivalAt)
      this.sendWithRetries(this.drawRequest())
    }
  }

  /** Stops new requests; those already sent go on. */
  stop (): void {
    this.isRunning = false
  }

  async close (): Promise<void> {
    await this.dispatcher.destroy()
  }

  private drawRequest (): RequestDraft {
    const { random } = this.options
    const names = Object.keys(apiKeysByAccount)
    const account = names[random.below(names.length)] ?? ''
    const isOrder = random.next() < ORDER_SHARE
    return {
      account,
      prompt: `Catalogue of feeds. ${'Feed mix for sows. '.repeat(40)} Question ${random.below(PROMPT_COUNT)} of ${account}`,
      tokens: 1 + random.below(MAX_TOKENS),
      timeoutMs: 2000 + random.below(6000),
      idempotencyKey: isOrder ? `${Date.now()}-order-${this.orderCount++}` : undefined
    }
  }

  private async sendWithRetries (draft: RequestDraft): Promise<void> {
    const { random, clock } = this.options
    const isDuplicated = draft.idempotencyKey !== undefined && random.next() < DUPLICATE_SHARE
    if (isDuplicated) {
      this.send(draft, random.below(ENTRIES))
    }
    let entry = random.below(ENTRIES)
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      const result = await this.send(draft, entry)
      if (result.outcome === SoakOutcome.Whole || random.next() > RETRY_SHARE) {
        return
      }
      await waitUntil(clock, clock.now() + random.below(MAX_RETRY_DELAY_MS))
      entry = (entry + 1) % ENTRIES
    }
  }

  private async send (draft: RequestDraft, entry: number): Promise<SoakResult> {
    const { deployment, oracle, clock } = this.options
    const { account, ...rest } = draft
    const attempt: SoakAttempt = { ...rest, address: deployment.entries[entry]?.address ?? '', dispatcher: this.dispatcher, apiKey: apiKeysByAccount[account] ?? '' }
    const sentAt = clock.now()
    this.inFlight += 1
    const result = await sendAttempt(attempt, oracle)
    this.inFlight -= 1
    this.checkResult(draft, entry, sentAt, result)
    return result
  }

  private checkResult (draft: RequestDraft, entry: number, sentAt: number, result: SoakResult): void {
    const { oracle, clock } = this.options
    oracle.recordOutcome(result.outcome === SoakOutcome.Failed ? `${result.code} ${result.verdict}` : result.outcome)
    oracle.recordVerdict(result.requestId, result.verdict)
    if ((this.disturbedAt[entry] ?? 0) >= sentAt || result.outcome === SoakOutcome.Unreachable) {
      return
    }
    const durationMs = clock.now() - sentAt
    oracle.expect(SoakPromise.AnsweredInTime, durationMs <= draft.timeoutMs + ANSWER_GRACE_MS, () => `entry-${entry}: ${Math.round(durationMs)} ms of ${draft.timeoutMs} ms, ${result.outcome} ${result.code}`)
    const isDraining = (this.drainedAt[entry] ?? 0) >= sentAt
    const promise = isDraining ? SoakPromise.GracefulStop : SoakPromise.AnswerWhole
    // A request that a closing port rejects doesn't count as cut off: no part of an answer had arrived.
    const isCut = result.outcome === SoakOutcome.Cut && (isDraining || result.requestId !== '')
    oracle.expect(promise, !isCut, () => `entry-${entry}: cut (${result.code}) after ${Math.round(durationMs)} ms`)
  }
}
