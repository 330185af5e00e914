/**
 * The soak's callers: open-loop, some orders among them, which are sent again
 * through another instance when their answer did not come, and now and then
 * twice at once.
 */
import { exponential, waitUntil, type Clock, type Random } from 'foxtaillever-core'
import { Agent } from 'undici'
import { SoakEnd, sendOnce, type SoakAnswer, type SoakSending } from './soakCaller.js'
import { accounts, ENTRIES, type SoakDeployment } from './soakDeployment.js'
import { SoakPromise, type SoakOracle } from './soakOracle.js'

export interface LoadOptions {
  readonly deployment: SoakDeployment
  readonly oracle: SoakOracle
  readonly random: Random
  readonly clock: Clock
  readonly requestsPerSecond: number
}

interface Draft {
  readonly account: string
  readonly prompt: string
  readonly tokens: number
  readonly timeoutMs: number
  readonly idempotencyKey: string | undefined
}

const ORDER_SHARE = 0.3
const TWICE_SHARE = 0.1
const AGAIN_SHARE = 0.7
const MOST_SENDINGS = 4
const LONGEST_WAIT_AGAIN_MS = 2000
const MOST_TOKENS = 20
const PROMPTS = 40

/** A last word may come this long after the deadline, milliseconds: the loop's tick and a busy machine. */
const LAST_WORD_MS = 3000

/** The client's own limit, beyond all that the router may take, milliseconds. */
const CLIENT_TIMEOUT_MS = 30_000

export class SoakLoad {
  /** When callers of each instance were last disturbed, milliseconds of Unix time. */
  private readonly disturbedAt = Array.from({ length: ENTRIES }, () => 0)
  private readonly drainedAt = Array.from({ length: ENTRIES }, () => 0)
  private readonly dispatcher = new Agent({ connections: 500, headersTimeout: CLIENT_TIMEOUT_MS, bodyTimeout: CLIENT_TIMEOUT_MS })
  private isRunning = true
  private sendings = 0
  inFlight = 0

  private constructor (private readonly options: LoadOptions) {}

  static create (options: LoadOptions): SoakLoad {
    return new SoakLoad(options)
  }

  disturb (entry: number): void {
    this.disturbedAt[entry] = this.options.clock.now()
  }

  drain (entry: number): void {
    this.drainedAt[entry] = this.options.clock.now()
  }

  async run (): Promise<void> {
    const { clock, random, requestsPerSecond } = this.options
    let next = clock.now()
    while (this.isRunning) {
      next += exponential(random, 1000 / requestsPerSecond)
      await waitUntil(clock, next)
      this.serve(this.draw())
    }
  }

  /** Ends the arrivals; what was sent goes on. */
  stop (): void {
    this.isRunning = false
  }

  async close (): Promise<void> {
    await this.dispatcher.destroy()
  }

  private draw (): Draft {
    const { random } = this.options
    const names = Object.keys(accounts)
    const account = names[random.below(names.length)] ?? ''
    const order = random.next() < ORDER_SHARE
    return {
      account,
      prompt: `Catalogue of feeds. ${'Feed mix for sows. '.repeat(40)} Question ${random.below(PROMPTS)} of ${account}`,
      tokens: 1 + random.below(MOST_TOKENS),
      timeoutMs: 2000 + random.below(6000),
      idempotencyKey: order ? `${Date.now()}-order-${this.sendings++}` : undefined
    }
  }

  private async serve (draft: Draft): Promise<void> {
    const { random, clock } = this.options
    const isTwice = draft.idempotencyKey !== undefined && random.next() < TWICE_SHARE
    if (isTwice) {
      this.send(draft, random.below(ENTRIES))
    }
    let entry = random.below(ENTRIES)
    for (let sending = 0; sending < MOST_SENDINGS; sending++) {
      const answer = await this.send(draft, entry)
      if (answer.end === SoakEnd.Whole || random.next() > AGAIN_SHARE) {
        return
      }
      await waitUntil(clock, clock.now() + random.below(LONGEST_WAIT_AGAIN_MS))
      entry = (entry + 1) % ENTRIES
    }
  }

  private async send (draft: Draft, entry: number): Promise<SoakAnswer> {
    const { deployment, oracle, clock } = this.options
    const { account, ...rest } = draft
    const sending: SoakSending = { ...rest, address: deployment.entries[entry]?.address ?? '', dispatcher: this.dispatcher, apiKey: accounts[account] ?? '' }
    const sentAt = clock.now()
    this.inFlight += 1
    const answer = await sendOnce(sending, oracle)
    this.inFlight -= 1
    this.judge(draft, entry, sentAt, answer)
    return answer
  }

  private judge (draft: Draft, entry: number, sentAt: number, answer: SoakAnswer): void {
    const { oracle, clock } = this.options
    oracle.outcome(answer.end === SoakEnd.Failed ? `${answer.code} ${answer.verdict}` : answer.end)
    oracle.told(answer.requestId, answer.verdict)
    if ((this.disturbedAt[entry] ?? 0) >= sentAt || answer.end === SoakEnd.Unreachable) {
      return
    }
    const tookMs = clock.now() - sentAt
    oracle.expect(SoakPromise.AnsweredInTime, tookMs <= draft.timeoutMs + LAST_WORD_MS, () => `entry-${entry}: ${Math.round(tookMs)} ms of ${draft.timeoutMs} ms, ${answer.end} ${answer.code}`)
    const isDraining = (this.drainedAt[entry] ?? 0) >= sentAt
    const promise = isDraining ? SoakPromise.GracefulStop : SoakPromise.AnswerWhole
    // A request that meets a closing port is not cut: nothing of an answer had come.
    const isCut = answer.end === SoakEnd.Cut && (isDraining || answer.requestId !== '')
    oracle.expect(promise, !isCut, () => `entry-${entry}: cut (${answer.code}) after ${Math.round(tookMs)} ms`)
  }
}
