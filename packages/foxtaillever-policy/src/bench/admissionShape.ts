/** Parameters and results of the simulated fleet with scarce capacity. */

export interface PromptKind {
  /** Share of the requests at the usual load. */
  readonly share: number
  readonly tokens: number
  readonly outputTokens: number
  readonly runMs: number
  readonly objectiveMs: number
  /** After which its caller gives up. */
  readonly deadlineMs: number
  readonly attempts: number
  readonly priority: number
  /** Whether it needs admission; a short prompt does not. */
  readonly isQueued: boolean
}

export const LARGE: PromptKind = { share: 0.4, tokens: 9190, outputTokens: 150, runMs: 600, objectiveMs: 1215, deadlineMs: 4860, attempts: 1, priority: 2, isQueued: true }
export const SHORT: PromptKind = { share: 0.6, tokens: 826, outputTokens: 120, runMs: 500, objectiveMs: 407, deadlineMs: 2000, attempts: 2, priority: 0, isQueued: false }

export interface Period {
  readonly from: number
  readonly to: number
}

export interface AdmissionShape {
  readonly instances: number
  readonly engines: number
  /** Tokens that arrive, as a multiple of what the engines read. */
  readonly load: number
  /** The same for short prompts alone, where it differs. */
  readonly shortLoad?: number
  readonly durationMs: number
  /** Whether large prompts wait in admission queues; otherwise they are sent at once and yield. */
  readonly isQueued: boolean
  /** Whether the queues serve client accounts in turn. */
  readonly hasShares: boolean
  /** Periods in which the large prompts are multiplied by `burstFactor`. */
  readonly bursts?: readonly Period[]
  readonly burstFactor?: number
  /** Periods in which `lostShare` of the engines is lost. */
  readonly losses?: readonly Period[]
  readonly lostShare?: number
  /** An account that sends a multiple of its usual load. */
  readonly flood?: { readonly account: number, readonly factor: number }
  readonly seed: number
}

/** Shares of sixteen client accounts, each a bit smaller than the one before. */
export const accountShares: readonly number[] = normalize(Array.from({ length: 16 }, (_, index) => 1 / (2 + index)))

interface SimulatedCall {
  readonly kind: PromptKind
  readonly account: number
  readonly sentAt: number
  readonly isRetry: boolean
  /** Until the first event; Infinity where there is none. */
  readonly waitMs: number
}

type Predicate = (call: SimulatedCall) => boolean

export class AdmissionOutcome {
  private constructor (private readonly shape: AdmissionShape, private readonly calls: readonly SimulatedCall[], readonly preemptions: number, readonly rejections: number) {}

  static create (shape: AdmissionShape, calls: readonly SimulatedCall[], preemptions: number, rejections: number): AdmissionOutcome {
    return new AdmissionOutcome(shape, calls, preemptions, rejections)
  }

  /** Requests that began on time a second, without those that began after the last arrival. */
  goodput (matches: Predicate = () => true): number {
    const { durationMs } = this.shape
    return this.calls.filter(call => isOnTime(call) && call.sentAt + call.waitMs < durationMs && matches(call)).length * 1000 / durationMs
  }

  /** Share of the requests that were on time; a rejected one was not. */
  onTimeShare (matches: Predicate = () => true): number {
    const calls = this.calls.filter(matches)
    return calls.filter(isOnTime).length / calls.length
  }

  /** Median wait of the requests that got a first event. */
  medianWait (matches: Predicate): number {
    const waits = this.calls.filter(call => matches(call) && call.waitMs < Infinity).map(({ waitMs }) => waitMs).sort((a, b) => a - b)
    return waits[Math.floor(waits.length / 2)] ?? Infinity
  }
}

function isOnTime ({ kind, waitMs }: SimulatedCall): boolean {
  return waitMs <= kind.objectiveMs
}

function normalize (shares: readonly number[]): number[] {
  const total = shares.reduce((sum, share) => sum + share, 0)
  return shares.map(share => share / total)
}
