/** A history of a fleet that shares quotas, drawn from a seed: faults, members and limits change while an account sends too much. */
import { SeededRandom, type Random } from 'foxtaillever-core'
import type { SharedLimit } from 'foxtaillever-policy/limits/sharedLimitLedger'
import { LimitFleet, quotas, type LimitSubject, type Node } from './limitFleet.js'

const ACCOUNT = 'acme'

/** Between two changes at most, milliseconds. */
const LONGEST_PAUSE_MS = 3000
const CHANGES = 8

/** What happens at one instant. */
type Change = (history: LimitHistory) => void

export interface LimitReport {
  readonly seed: number
  /** Names of what happened, in turn. */
  readonly changes: string[]
  /** Most that was admitted in a window since a limit was set, as a part of what it allows. */
  readonly worst: number
}

export class LimitHistory {
  readonly random: Random
  limit: SharedLimit
  /** Tokens a second that are sent, as a part of the quota. */
  factor = 0.55
  private worst = 0
  private since = 0

  private constructor (readonly fleet: LimitFleet, readonly subject: LimitSubject, readonly seed: number) {
    this.random = SeededRandom.create(seed)
    const perSecond = subject.drawRate(this.random)
    this.limit = { perSecond, burst: subject.burstOf(perSecond), revision: fleet.clock.now() }
  }

  static async play (seed: number, size: number, subject = quotas): Promise<LimitReport> {
    const history = new LimitHistory(await LimitFleet.start(size, seed, subject.kind), subject, seed)
    const changes: string[] = []
    for (let index = 0; index < CHANGES; index++) {
      const name = draw(history.random, Object.keys(kinds))
      changes.push(name)
      kinds[name]?.(history)
      await history.send(500 + history.random.below(LONGEST_PAUSE_MS))
    }
    history.check()
    return { seed, changes, worst: history.worst }
  }

  /** A part of those that are up, drawn. */
  some (part: number): Node[] {
    return this.fleet.up().filter(() => this.random.next() < part)
  }

  later (ms: number, task: () => void): void {
    this.fleet.clock.at(this.fleet.clock.now() + ms, task)
  }

  /** Those that went down start again after a while, and know the others from the store. */
  kill (nodes: readonly Node[], ms: number): void {
    nodes.forEach(node => { node.isDown = true })
    this.later(ms, () => nodes.forEach(({ address }) => this.fleet.add(address, this.fleet.nodes.map(other => other.address))))
  }

  /** Windows of the limit so far are checked; those of another begin. */
  setLimit (perSecond: number): void {
    this.check()
    const { fleet, subject } = this
    this.limit = { perSecond, burst: subject.burstOf(perSecond), revision: fleet.clock.now() }
    // A lower limit binds once a whole window has passed.
    this.since = fleet.clock.now() + subject.kind.tolerance.windowMs
  }

  private check (): void {
    const admitted = this.fleet.admitted(ACCOUNT).filter(({ at }) => at >= this.since)
    this.worst = Math.max(this.worst, this.fleet.mostInWindow(admitted) / this.subject.allowed(this.limit))
  }

  private async send (ms: number): Promise<void> {
    const cost = this.subject.drawCost(this.random)
    await this.fleet.load(ACCOUNT, () => this.limit, this.limit.perSecond * this.factor, cost, ms)
  }
}

function draw<T> (random: Random, all: readonly T[]): T {
  return all[random.below(all.length)] as T
}

const kinds: Readonly<Record<string, Change>> = {
  hot: history => { history.factor = 0.55 * 7.5 },
  usual: history => { history.factor = 0.55 },
  lower: history => history.setLimit(Math.max(history.subject.leastRate, history.limit.perSecond / 4)),
  raise: history => history.setLimit(history.limit.perSecond * 2),
  cutHalf: history => {
    const { fleet } = history
    history.some(0.5).forEach(node => { node.side = 1 })
    history.later(12_000, () => fleet.nodes.forEach(node => { node.side = 0 }))
  },
  killMany: history => history.kill(history.some(0.55), 2000),
  killOwners: history => {
    const { fleet } = history
    const ranked = fleet.up()[0]?.limitOwners.of(ACCOUNT) ?? []
    history.kill(fleet.up().filter(({ address }) => ranked.slice(0, 1 + history.random.below(3)).includes(address)), 2000 + history.random.below(1500))
  },
  freeze: history => {
    const frozen = history.some(0.2).filter(({ isDown }) => !isDown)
    frozen.forEach(node => { node.isDown = true })
    history.later(4000, () => frozen.forEach(node => { node.isDown = false }))
  },
  join: history => {
    const { fleet, random } = history
    const address = `10.2.0.${fleet.nodes.length}:7340`
    const others = [...fleet.nodes]
    fleet.add(address, others.map(node => node.address))
    others.forEach(node => history.later(random.below(4000), () => node.known.add(address)))
  },
  leave: history => {
    const { fleet, random } = history
    const leaver = draw(random, fleet.up())
    leaver.known.delete(leaver.address)
    fleet.nodes.forEach(node => history.later(random.below(1000), () => node.known.delete(leaver.address)))
    history.later(2600, () => { leaver.isDown = true })
  },
  lossy: ({ fleet }) => { Object.assign(fleet.faults, { lost: 0.025, doubled: 0.02, longestMs: 60 }) }
}
