/** A history of a fleet that shares limits, drawn from a seed: faults, members and limits change while an account exceeds its limit. */
import { SeededRandom, type Random } from 'foxtaillever-core'
import type { SharedLimit } from 'foxtaillever-policy/limits/sharedLimitLedger'
import { LimitFleet, quotas, type FleetNode, type LimitSubject } from './limitFleet.js'

const ACCOUNT = 'acme'

/** Longest pause between two changes, milliseconds. */
const MAX_PAUSE_MS = 3000
const CHANGES = 8

/** An event in a history. */
type Change = (history: LimitHistory) => void

export interface LimitReport {
  readonly seed: number
  /** Names of the changes, in order. */
  readonly changes: string[]
  /** Largest cost admitted in a window since a limit was set, as a share of what the limit allows. */
  readonly worst: number
}

export class LimitHistory {
  readonly random: Random
  limit: SharedLimit
  /** Load, as a share of the limit. */
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
      const name = draw(history.random, Object.keys(changesByName))
      changes.push(name)
      changesByName[name]?.(history)
      await history.send(500 + history.random.below(MAX_PAUSE_MS))
    }
    history.check()
    return { seed, changes, worst: history.worst }
  }

  /** Draws a share of the instances that are up. */
  drawNodes (part: number): FleetNode[] {
    return this.fleet.up().filter(() => this.random.next() < part)
  }

  schedule (ms: number, task: () => void): void {
    this.fleet.clock.at(this.fleet.clock.now() + ms, task)
  }

  /** Stops the instances and restarts them after a while; they know the others from the store. */
  kill (nodes: readonly FleetNode[], ms: number): void {
    nodes.forEach(node => { node.isDown = true })
    this.schedule(ms, () => nodes.forEach(({ address }) => this.fleet.add(address, this.fleet.nodes.map(node => node.address))))
  }

  /** Checks the windows under the current limit, then sets a new one. */
  setLimit (perSecond: number): void {
    this.check()
    const { fleet, subject } = this
    this.limit = { perSecond, burst: subject.burstOf(perSecond), revision: fleet.clock.now() }
    // A lower limit is checked only after a whole window has passed.
    this.since = fleet.clock.now() + subject.kind.tolerance.windowMs
  }

  private check (): void {
    const admitted = this.fleet.admitted(ACCOUNT).filter(({ at }) => at >= this.since)
    this.worst = Math.max(this.worst, this.fleet.maxInWindow(admitted) / this.subject.allowed(this.limit))
  }

  private async send (ms: number): Promise<void> {
    const cost = this.subject.drawCost(this.random)
    await this.fleet.load(ACCOUNT, () => this.limit, this.limit.perSecond * this.factor, cost, ms)
  }
}

function draw<T> (random: Random, all: readonly T[]): T {
  return all[random.below(all.length)] as T
}

const changesByName: Readonly<Record<string, Change>> = {
  hot: history => { history.factor = 0.55 * 7.5 },
  usual: history => { history.factor = 0.55 },
  lower: history => history.setLimit(Math.max(history.subject.minRate, history.limit.perSecond / 4)),
  raise: history => history.setLimit(history.limit.perSecond * 2),
  cutHalf: history => {
    const { fleet } = history
    history.drawNodes(0.5).forEach(node => { node.side = 1 })
    history.schedule(12_000, () => fleet.nodes.forEach(node => { node.side = 0 }))
  },
  killMany: history => history.kill(history.drawNodes(0.55), 2000),
  killOwners: history => {
    const { fleet } = history
    const ranked = fleet.up()[0]?.limitOwners.of(ACCOUNT) ?? []
    history.kill(fleet.up().filter(({ address }) => ranked.slice(0, 1 + history.random.below(3)).includes(address)), 2000 + history.random.below(1500))
  },
  freeze: history => {
    const frozen = history.drawNodes(0.2).filter(({ isDown }) => !isDown)
    frozen.forEach(node => { node.isDown = true })
    history.schedule(4000, () => frozen.forEach(node => { node.isDown = false }))
  },
  join: history => {
    const { fleet, random } = history
    const address = `10.2.0.${fleet.nodes.length}:7340`
    const others = [...fleet.nodes]
    fleet.add(address, others.map(node => node.address))
    others.forEach(node => history.schedule(random.below(4000), () => node.knownAddresses.add(address)))
  },
  leave: history => {
    const { fleet, random } = history
    const leaver = draw(random, fleet.up())
    leaver.knownAddresses.delete(leaver.address)
    fleet.nodes.forEach(node => history.schedule(random.below(1000), () => node.knownAddresses.delete(leaver.address)))
    history.schedule(2600, () => { leaver.isDown = true })
  },
  lossy: ({ fleet }) => { Object.assign(fleet.faults, { lost: 0.025, doubled: 0.02, maxDelayMs: 60 }) }
}
