/**
 * Simulates engines with too little capacity in steps of a millisecond, to compare
 * requests that are sent at once with requests that wait in admission queues.
 *
 * Other than in `EngineFleet`, an engine starts waiting prompts by priority, memory and
 * slots, and reads the started ones in turn: an urgent prompt that is started at once
 * still waits behind all that were started before it.
 */
import { exponential, SeededRandom } from 'foxtaillever-core'
import { AdmissionQueue, FEASIBLE_QUEUE_SHARE, type AdmissionEntry, type RejectedEntry } from '../relay/admissionQueue.js'
import { isNearlyIdle, type ServerRoom } from '../relay/serverRoom.js'
import { BacklogEstimate } from '../relay/backlogEstimate.js'
import { shouldYield, yieldPriority } from '../relay/yieldPriority.js'
import { MEMORY_TOKENS, AdmissionEngine, SLOTS, TOKENS_PER_MS, type EngineCall } from './admissionEngine.js'
import { accountShares, AdmissionOutcome, LARGE, SHORT, type AdmissionShape, type PromptKind } from './admissionShape.js'

interface Call extends EngineCall {
  readonly id: number
  readonly account: number
  readonly instance: number
  readonly sentAt: number
  readonly isRetry: boolean
  attempts: number
  engine: Engine | undefined
  /** The load that its engine's owner has not learned of. */
  isReported: boolean
  isGone: boolean
}

interface Engine {
  readonly server: AdmissionEngine<Call>
  isLost: boolean
  readonly queue: AdmissionQueue
  readonly backlog: BacklogEstimate
  /** What its owner knows of, by reports and its own admissions. */
  known: Call[]
  decideAt: number
}

const REPORT_MS = 25
const DATAGRAM_MS = 1
const RENEWAL_MS = 250
const EXPIRY_MS = 600
const READ_AHEAD_MS = 102
const CANDIDATES = 3
/** Time after the last arrival, longer than any objective, milliseconds. */
const DRAIN_MS = 2000
const MEAN_TOKENS = LARGE.share * LARGE.tokens + SHORT.share * SHORT.tokens

export class AdmissionFleet {
  /** Separate, so that the arrivals are the same however requests are sent. */
  private readonly arrivals: SeededRandom
  private readonly random: SeededRandom
  private readonly engines: Engine[]
  private readonly calls: Call[] = []
  private readonly timeline = new Map<number, Array<() => void>>()
  private rejections = 0
  private now = 0

  private constructor (private readonly shape: AdmissionShape) {
    this.arrivals = SeededRandom.create(shape.seed)
    this.random = SeededRandom.create(shape.seed + 1000)
    this.engines = Array.from({ length: shape.engines }, () => ({ server: AdmissionEngine.create<Call>(), isLost: false, queue: AdmissionQueue.create(), backlog: BacklogEstimate.create(), known: [], decideAt: Infinity }))
  }

  static simulate (shape: AdmissionShape): AdmissionOutcome {
    const fleet = new AdmissionFleet(shape)
    for (; fleet.now < shape.durationMs + DRAIN_MS; fleet.now += 1) {
      fleet.addArrivals()
      fleet.loseEngines()
      fleet.timeline.get(fleet.now)?.forEach(run => run())
      fleet.timeline.delete(fleet.now)
      fleet.engines.forEach(engine => fleet.stepEngine(engine))
    }
    const calls = fleet.calls.map(({ kind, account, sentAt, isRetry, firstEventAt }) => ({ kind, account, sentAt, isRetry, waitMs: firstEventAt - sentAt }))
    return AdmissionOutcome.create(shape, calls, sum(fleet.engines, ({ server }) => server.preemptions), fleet.rejections)
  }

  private after (ms: number, run: () => void): void {
    const at = this.now + Math.max(1, Math.ceil(ms))
    this.timeline.set(at, [...this.timeline.get(at) ?? [], run])
  }

  private addArrivals (): void {
    const { shape: { load, engines, durationMs, bursts = [], flood }, now } = this
    if (now >= durationMs) {
      return
    }
    const isBurst = bursts.some(({ from, to }) => from <= now && now < to)
    for (const kind of [LARGE, SHORT]) {
      const base = engines * TOKENS_PER_MS / MEAN_TOKENS * kind.share
      const rate = base * (kind === SHORT ? this.shape.shortLoad ?? load : load) * (isBurst && kind === LARGE ? this.shape.burstFactor ?? 1 : 1)
      accountShares.forEach((share, account) => {
        const accountRate = rate * share * (account === flood?.account ? flood.factor : 1)
        for (let at = exponential(this.arrivals, 1 / accountRate); at < 1; at += exponential(this.arrivals, 1 / accountRate)) {
          this.sendCall(kind, account, this.calls.length)
        }
      })
    }
  }

  private loseEngines (): void {
    const { losses = [], lostShare = 0 } = this.shape
    if (losses.some(({ to }) => to === this.now)) {
      this.engines.forEach(engine => { engine.isLost = false })
    }
    if (losses.some(({ from }) => from === this.now)) {
      for (const engine of this.engines.slice(0, Math.round(lostShare * this.engines.length))) {
        engine.isLost = true
        const failed = engine.server.calls
        failed.forEach(call => this.endCall(call))
        failed.filter(({ kind, attempts, firstEventAt }) => firstEventAt === Infinity && attempts < kind.attempts).forEach(call => this.send(this.copyOf(call)))
      }
    }
  }

  private sendCall (kind: PromptKind, account: number, fingerprint: number, rejectedBy?: Engine): void {
    const call: Call = { id: this.calls.length, kind, account, instance: this.random.below(this.shape.instances), sentAt: this.now, isRetry: rejectedBy !== undefined, priority: kind.priority, attempts: 0, engine: undefined, tokensLeft: kind.tokens, outputTokens: 0, firstEventAt: Infinity, isReported: false, isGone: false }
    this.calls.push(call)
    this.after(kind.deadlineMs, () => this.expire(call))
    if (this.shape.isQueued && kind.isQueued) {
      // A retry goes to the home of its level again.
      this.requestAdmission(call, rejectedBy?.isLost === false ? rejectedBy : this.chooseEngine(call), fingerprint)
    } else {
      this.send(call)
    }
  }

  /** The next attempt; the outcome is recorded in its place. */
  private copyOf (call: Call): Call {
    const copy = { ...call, engine: undefined, tokensLeft: call.kind.tokens, outputTokens: 0, isReported: false, isGone: false }
    this.calls[call.id] = copy
    return copy
  }

  private expire ({ id }: Call): void {
    const call = this.calls[id] as Call
    if (call.firstEventAt === Infinity) {
      this.endCall(call)
    }
  }

  /** Least expected wait among some engines drawn at random. */
  private chooseEngine (call: Call, current?: Engine): Engine {
    const usable = this.engines.filter(({ isLost }) => !isLost)
    const drawn = Array.from({ length: CANDIDATES }, () => usable[this.random.below(usable.length)] as Engine)
    const [best] = drawn.sort((a, b) => this.waitTokens(a, call) - this.waitTokens(b, call)) as [Engine]
    const isKept = current !== undefined && !current.isLost && this.waitTokens(best, call) + call.kind.tokens >= this.waitTokens(current, call)
    return isKept ? current : best
  }

  private waitTokens (engine: Engine, { account, instance, kind }: Call): number {
    const own = engine.server.calls.filter(call => call.instance === instance && !call.isReported && call.firstEventAt === Infinity)
    return sum(own, ({ kind }) => kind.tokens) + sum(engine.known, unreadTokens) + engine.queue.queuedTokens(kind.priority, this.accountOf(account))
  }

  private requestAdmission (call: Call, engine: Engine, fingerprint: number): void {
    const room = this.roomOf(engine)
    if (engine.queue.size === 0 && isNearlyIdle(room, call.kind.tokens)) {
      this.send(call, engine)
      return
    }
    const { account, sentAt, kind } = call
    const key = String(call.id)
    const entry: AdmissionEntry = {
      key, account: this.accountOf(account), fingerprint, tokens: kind.tokens, heldTokens: kind.tokens, priority: kind.priority, objectiveAt: sentAt + FEASIBLE_QUEUE_SHARE * kind.objectiveMs, latestStartAt: sentAt + kind.deadlineMs - kind.tokens / TOKENS_PER_MS, expiresAt: this.now + EXPIRY_MS
    }
    this.after(DATAGRAM_MS, () => {
      engine.queue.add(entry, this.now)
      this.decide(engine)
    })
    this.after(RENEWAL_MS, () => {
      const isAnswered = call.engine !== undefined || call.isGone || !engine.queue.has(key)
      const next = isAnswered ? engine : this.chooseEngine(call, engine)
      if (next !== engine) {
        engine.queue.remove(key)
      }
      if (!isAnswered) {
        this.requestAdmission(call, next, fingerprint)
      }
    })
  }

  private accountOf (account: number): string {
    return this.shape.hasShares ? String(account) : ''
  }

  private roomOf ({ known, backlog }: Engine): ServerRoom {
    return { backlogTokens: backlog.tokensAt(TOKENS_PER_MS, this.now), heldTokens: sum(known, ({ kind }) => kind.tokens), outstanding: known.length, tokensPerMs: TOKENS_PER_MS, memoryTokens: MEMORY_TOKENS, slots: SLOTS, readAheadMs: READ_AHEAD_MS }
  }

  private decide (engine: Engine): void {
    if (engine.isLost || engine.queue.size === 0) {
      return
    }
    const { admitted, rejected } = engine.queue.decide(this.roomOf(engine), this.now)
    for (const { key } of admitted) {
      const call = this.calls[Number(key)] as Call
      call.engine = engine
      call.isReported = true
      this.setKnown(engine, [...engine.known, call])
      this.after(2 * DATAGRAM_MS, () => this.send(call, engine))
    }
    rejected.forEach(each => this.reject(each, engine))
    const at = engine.queue.nextDecisionAt(this.roomOf(engine), this.now)
    engine.decideAt = at
    if (at < Infinity) {
      this.after(at - this.now, () => engine.decideAt === at && this.decide(engine))
    }
  }

  private reject ({ entry, retryAt }: RejectedEntry, engine: Engine): void {
    const { kind, account, isRetry, isGone } = this.calls[Number(entry.key)] as Call
    this.rejections += 1
    if (!isRetry && !isGone && retryAt < this.shape.durationMs) {
      this.after(retryAt - this.now + DATAGRAM_MS, () => this.sendCall(kind, account, entry.fingerprint, engine))
    }
  }

  private setKnown (engine: Engine, known: Call[]): void {
    engine.known = known
    engine.backlog.record(sum(known, unreadTokens), this.now)
  }

  private send (call: Call, engine = this.chooseEngine(call)): void {
    if (call.isGone) {
      return
    }
    const { kind } = call
    const waitMs = this.waitTokens(engine, call) / TOKENS_PER_MS
    const isLate = !call.isReported && shouldYield({ elapsedMs: this.now - call.sentAt, waitMs, readMs: kind.tokens / TOKENS_PER_MS, objectiveMs: kind.objectiveMs })
    call.priority = isLate ? yieldPriority(kind.priority) : kind.priority
    call.attempts += 1
    call.engine = engine
    if (engine.isLost) {
      this.endCall(call)
      return
    }
    engine.server.add(call)
    this.report(engine, call)
    this.after(2 * kind.objectiveMs, () => this.resend(call))
  }

  /** A server without a first event after twice the objective counts as silent. */
  private resend (call: Call): void {
    if (!call.isGone && call.firstEventAt === Infinity && call.attempts < call.kind.attempts) {
      this.endCall(call)
      this.send(this.copyOf(call))
    }
  }

  /** The owner learns of the load of a request that was sent, began or ended. */
  private report (engine: Engine, call: Call): void {
    this.after(REPORT_MS, () => {
      call.isReported = true
      const others = engine.known.filter(other => other !== call)
      this.setKnown(engine, call.isGone ? others : [...others, call])
      this.decide(engine)
    })
  }

  private endCall (call: Call): void {
    const { engine } = call
    call.isGone = true
    if (engine) {
      engine.server.remove(call)
      this.report(engine, call)
    }
  }

  private stepEngine (engine: Engine): void {
    const { begun, ended } = engine.server.step(this.now)
    begun.forEach(call => this.report(engine, call))
    ended.forEach(call => this.endCall(call))
  }
}

function unreadTokens ({ firstEventAt, kind }: Call): number {
  return firstEventAt === Infinity ? kind.tokens : 0
}

function sum<Item> (items: readonly Item[], amountOf: (item: Item) => number): number {
  return items.reduce((total, item) => total + amountOf(item), 0)
}
