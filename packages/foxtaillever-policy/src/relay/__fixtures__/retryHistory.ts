/** A history of a fleet under one retry budget, drawn from a seed: instances are killed, replaced and added while requests fail and are sent again as often as allowed. */
import { SeededRandom, type Random } from 'foxtaillever-core'
import { RetryShare } from '../retryShare.js'

export const allowance = { ratio: 0.2, slack: 56, windowMs: 10_000 }

const SERVICE = 's'
const STEP_MS = 20
const DURATION_MS = 60_000

/** The share of requests that fail is drawn anew this often, milliseconds. */
const PHASE_MS = 2500

/** Retries of one request: a route's usual number of attempts, without the first. */
const MAX_RETRIES = 2

/** An instance that is gone still counts for this long, milliseconds. */
const COUNTED_MS = 30_000

/** Longest time until a process knows of a change of the members, milliseconds. */
const MAX_DISCOVERY_MS = 1000

/** Longest time until a killed process is started again, milliseconds. */
const MAX_RESTART_MS = 1500

export enum Disturbance {
  KillAll = 'kill-all',
  KillOne = 'kill-one',
  KillInSeries = 'kill-in-series',
  Replace = 'replace',
  ReplaceInSeries = 'replace-in-series',
  Add = 'add'
}

interface Process {
  readonly share: RetryShare
}

interface Machine {
  process: Process | undefined
  restartAt: number
  goneAt: number
  readonly addedAt: number
}

/** Retries and requests of all instances, in order. */
interface Record {
  readonly requests: number[]
  readonly retries: number[]
}

export interface RetryReport {
  readonly seed: number
  readonly disturbances: readonly string[]
  /** Most retries in a window, as a share of what the budget allows there. */
  readonly worst: number
  /** Retries as a share of what the budget allows, over all windows in which every request failed. */
  readonly used: number
}

export interface DrawnFleet {
  readonly instances: number
  /** Requests a second at each instance. */
  readonly perSecond: number
}

export const drawnFleets: readonly DrawnFleet[] = [
  { instances: 1, perSecond: 20 },
  { instances: 6, perSecond: 9 },
  { instances: 8, perSecond: 14 },
  { instances: 70, perSecond: 6 },
  { instances: 70, perSecond: 0.4 },
  { instances: 380, perSecond: 3.6 }
]

export interface RetryHistoryOptions extends DrawnFleet {
  readonly seed: number
  /** Kinds to draw from; none for a history without disturbances in which every request fails. */
  readonly disturbances: readonly Disturbance[]
}

export class RetryHistory {
  private readonly random: Random
  private readonly machines: Machine[] = []
  private readonly record: Record = { requests: [], retries: [] }
  private now = 0
  private failingShare = 1
  private readonly drawn: string[] = []
  private readonly planned: Array<{ readonly at: number, readonly run: () => void }> = []

  private constructor (private readonly options: RetryHistoryOptions) {
    this.random = SeededRandom.create(options.seed)
  }

  static play (options: RetryHistoryOptions): RetryReport {
    const history = new RetryHistory(options)
    for (let index = 0; index < options.instances; index += 1) {
      history.addMachine(0)
    }
    history.planDisturbances()
    history.run()
    return { seed: options.seed, disturbances: history.drawn, worst: history.worstWindow(), used: history.usedShare() }
  }

  private run (): void {
    const { perSecond, disturbances } = this.options
    for (; this.now < DURATION_MS; this.now += STEP_MS) {
      this.planned.filter(({ at }) => at > this.now - STEP_MS && at <= this.now).forEach(({ run }) => run())
      if (this.now % PHASE_MS === 0 && disturbances.length > 0) {
        this.failingShare = this.random.next() < 0.4 ? 0 : 1
      }
      this.machines.forEach(machine => {
        this.restart(machine)
        if (machine.process && this.random.next() < perSecond * STEP_MS / 1000) {
          this.sendRequest(machine.process)
        }
      })
    }
  }

  private sendRequest ({ share }: Process): void {
    share.addRequest(SERVICE, this.now)
    this.record.requests.push(this.now)
    for (let retry = 0; retry < MAX_RETRIES && this.random.next() < this.failingShare && share.tryRetry(SERVICE, this.now); retry += 1) {
      this.record.retries.push(this.now)
    }
  }

  private planDisturbances (): void {
    const { disturbances } = this.options
    for (let at = 12_000; disturbances.length > 0 && at < DURATION_MS; at += 500 + this.random.below(8000)) {
      const kind = disturbances[this.random.below(disturbances.length)] as Disturbance
      this.drawn.push(`${at} ${kind}`)
      this.planned.push({ at, run: () => this.disturb(kind) })
    }
  }

  private disturb (kind: Disturbance): void {
    const handlers: Readonly<{ [kind in Disturbance]: () => void }> = {
      [Disturbance.KillAll]: () => this.present().forEach(machine => this.kill(machine)),
      [Disturbance.KillOne]: () => this.kill(this.drawMachine()),
      [Disturbance.KillInSeries]: () => this.inSeries(() => this.kill(this.drawMachine())),
      [Disturbance.Replace]: () => this.replace(this.drawMachine()),
      [Disturbance.ReplaceInSeries]: () => this.inSeries(() => this.replace(this.drawMachine())),
      [Disturbance.Add]: () => { this.addMachine(this.now) }
    }
    handlers[kind]()
  }

  private inSeries (change: () => void): void {
    const count = this.options.instances
    for (let index = 0; index < count; index += 1) {
      this.planned.push({ at: this.now + STEP_MS + this.random.below(allowance.windowMs * 0.9), run: change })
    }
  }

  private kill (machine: Machine): void {
    machine.process = undefined
    machine.restartAt = this.now + this.random.below(MAX_RESTART_MS)
  }

  private replace (machine: Machine): void {
    machine.process = undefined
    machine.goneAt = this.now
    this.addMachine(this.now + this.random.below(MAX_RESTART_MS))
  }

  private addMachine (startsAt: number): void {
    this.machines.push({ process: undefined, restartAt: startsAt, goneAt: Infinity, addedAt: startsAt })
  }

  private restart (machine: Machine): void {
    if (!machine.process && machine.goneAt > this.now && machine.restartAt <= this.now) {
      const discoveryMs = this.now === 0 ? 0 : this.random.below(MAX_DISCOVERY_MS)
      machine.process = { share: RetryShare.create(allowance, this.now, () => this.countAt(this.now - discoveryMs)) }
    }
  }

  private present (): Machine[] {
    return this.machines.filter(({ goneAt }) => goneAt > this.now)
  }

  private drawMachine (): Machine {
    const present = this.present()
    return present[this.random.below(present.length)] as Machine
  }

  private countAt (at: number): number {
    return this.machines.filter(({ addedAt, goneAt }) => addedAt <= Math.max(at, 0) && goneAt + COUNTED_MS > at).length
  }

  /** Retries that the budget allows in the window from a time on. */
  private allowedFrom (from: number): number {
    const { ratio, slack, windowMs } = allowance
    const most = Math.max(...[0, windowMs / 2, windowMs].map(shift => countWithin(this.record.requests, from - shift, windowMs)))
    return ratio * most + slack
  }

  private worstWindow (): number {
    const { retries } = this.record
    return Math.max(0, ...retries.map(from => countWithin(retries, from, allowance.windowMs) / this.allowedFrom(from)))
  }

  private usedShare (): number {
    const { windowMs } = allowance
    const starts = Array.from({ length: DURATION_MS / windowMs - 2 }, (_, index) => (index + 1) * windowMs)
    return starts.reduce((sum, from) => sum + countWithin(this.record.retries, from, windowMs) / this.allowedFrom(from), 0) / starts.length
  }
}

function countWithin (times: readonly number[], from: number, windowMs: number): number {
  return firstAtOrAfter(times, from + windowMs) - firstAtOrAfter(times, from)
}

/** Index of the first time at or after the given one, by binary search. */
function firstAtOrAfter (times: readonly number[], at: number): number {
  let [low, high] = [0, times.length]
  while (low < high) {
    const middle = (low + high) >> 1
    if ((times[middle] as number) < at) {
      low = middle + 1
    } else {
      high = middle
    }
  }
  return low
}
