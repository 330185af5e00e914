/**
 * One fleet of light members over loopback, taken through everything that is
 * measured of it.
 */
import { waitUntil, SystemClock, type LogRecord } from 'foxtaillever-core'
import { Hosts, type FleetSample } from '../members/hosts.js'
import { OrderKind } from '../members/orders.js'
import { quantilesOf, type Quantiles } from '../report/quantiles.js'
import { twoYearSize } from '../sizes.js'
import { createSwitch, createWholeRecord } from './syntheticConfiguration.js'

/** What one daemon spends. */
export interface Spending {
  readonly sentPerSecond: number
  readonly receivedPerSecond: number
  /** The busiest member, sent and received together. */
  readonly mostPerSecond: number
  readonly corePercent: number
}

export interface Repair {
  /** Time until all members had the same table, milliseconds. */
  readonly agreedMs: number
  /** The busiest member in its busiest second, sent and received, bytes. */
  readonly peakPerSecond: number
  /** The average member in the fleet's busiest second. */
  readonly averagePeakPerSecond: number
}

export interface FleetFigures {
  readonly size: number
  readonly joinMs: number
  readonly heapPerMember: number
  readonly steady: Spending
  /** With each member sharing one fact a second. */
  readonly sharing: Spending
  readonly changeLogUp: Quantiles
  readonly changeLogDown: Quantiles
  readonly death: Quantiles
  readonly domainLoss: Quantiles
  readonly herd: Repair
  readonly healing: Repair
}

const STEADY_MS = 10_000
const POLL_MS = 200
const SECOND_MS = 1000
const LONGEST_MS = 90_000
const CHANGES = 4
const DEATHS = 4
const SPLIT_MS = 20_000
/** By then every read of the log has failed and members know that it is down. */
const LOG_DOWN_MS = 4500

const clock = SystemClock.create()

async function pause (milliseconds: number): Promise<void> {
  await waitUntil(clock, clock.now() + milliseconds)
}

function totals ({ members }: FleetSample): ReadonlyMap<string, number> {
  return new Map(members.map(member => [member.name, member.sentBytes + member.receivedBytes + member.peerBytes]))
}

function mostSince (before: FleetSample, after: FleetSample): number {
  const start = totals(before)
  return Math.max(...[...totals(after)].map(([name, bytes]) => bytes - (start.get(name) ?? 0)))
}

/** Procedure answers count on both sides, since what one receives another sends. */
function averageOf (sample: FleetSample, field: 'sentBytes' | 'receivedBytes'): number {
  return sample.members.reduce((sum, member) => sum + member[field] + member.peerBytes, 0) / sample.members.length
}

function isAgreed ({ members }: FleetSample, size: number): boolean {
  return members.length === size && members.every(member => member.members === size && member.membersHash === members[0]!.membersHash)
}

export class FleetRun {
  private revision = 0

  private constructor (private readonly hosts: Hosts, private readonly size: number) {}

  static async measure (size: number, report: (line: string) => void): Promise<FleetFigures> {
    const hosts = await Hosts.create(size, size)
    const empty = await hosts.sample(true)
    const run = new FleetRun(hosts, size)
    const figures = await run.run(empty.heapBytes, report)
    await hosts.end()
    return figures
  }

  private async run (emptyHeap: number, report: (line: string) => void): Promise<FleetFigures> {
    const say = (part: string): void => report(`${this.size} members: ${part}`)
    await this.hosts.startMembers(this.size)
    const joinMs = await this.untilAgreed()
    say('joined')
    const whole = createWholeRecord(this.hosts.nextOffset())
    await this.hosts.append(whole)
    this.revision = whole.offset
    await this.untilQuiet()
    const steady = await this.spending(STEADY_MS)
    const { heapBytes } = await this.hosts.sample(true)
    say('steady')
    const changeLogUp = await this.changes(async record => await this.hosts.append(record))
    const changeLogDown = await this.changesLogDown()
    say('changed')
    const sharing = await this.whileSharing()
    say('shared')
    const death = await this.deaths()
    say('dead')
    const herd = await this.herd()
    say('restarted')
    const healing = await this.healing()
    say('healed')
    const domainLoss = await this.domainLoss()
    const heapPerMember = (heapBytes - emptyHeap) / this.size
    return { size: this.size, joinMs, heapPerMember, steady, sharing, changeLogUp, changeLogDown, death, domainLoss, herd, healing }
  }

  private async spending (milliseconds: number): Promise<Spending> {
    const before = await this.hosts.sample()
    const cpu = process.cpuUsage()
    const startedAt = clock.now()
    await pause(milliseconds)
    const used = process.cpuUsage(cpu)
    const seconds = (clock.now() - startedAt) / SECOND_MS
    const after = await this.hosts.sample()
    return {
      sentPerSecond: (averageOf(after, 'sentBytes') - averageOf(before, 'sentBytes')) / seconds,
      receivedPerSecond: (averageOf(after, 'receivedBytes') - averageOf(before, 'receivedBytes')) / seconds,
      mostPerSecond: mostSince(before, after) / seconds,
      corePercent: (used.user + used.system) / 1e6 / seconds / this.size * 100
    }
  }

  private async whileSharing (): Promise<Spending> {
    await this.hosts.all({ kind: OrderKind.Share, facts: 1, periodMs: SECOND_MS })
    await pause(3000)
    const spending = await this.spending(STEADY_MS)
    await this.hosts.all({ kind: OrderKind.Share, facts: 0, periodMs: 0 })
    await pause(2000)
    return spending
  }

  /** Latencies of some changes from the append to each member. */
  private async changes (publish: (record: LogRecord) => Promise<void>): Promise<Quantiles> {
    const latencies: number[] = []
    for (let index = 0; index < CHANGES; index += 1) {
      const record = createSwitch(this.hosts.nextOffset(), this.revision)
      const startedAt = clock.now()
      await publish(record)
      this.revision = record.offset
      const { members } = await this.until(sample => sample.members.every(member => member.revision >= record.offset))
      latencies.push(...members.map(member => member.revisionAt - startedAt))
    }
    return quantilesOf(latencies)
  }

  /** One member has the change when the log goes down; the others get it from each other. */
  private async changesLogDown (): Promise<Quantiles> {
    await this.hosts.all({ kind: OrderKind.SetLog, down: true })
    await pause(LOG_DOWN_MS)
    const missed: LogRecord[] = []
    const quantiles = await this.changes(async record => {
      missed.push(record)
      this.hosts.takeOffset()
      await this.hosts.all({ kind: OrderKind.Append, record, only: 'entry-0' })
    })
    for (const record of missed) {
      await this.hosts.append(record)
    }
    await this.hosts.all({ kind: OrderKind.SetLog, down: false })
    await pause(2000)
    return quantiles
  }

  private async deaths (): Promise<Quantiles> {
    const latencies: number[] = []
    for (let index = 0; index < DEATHS; index += 1) {
      latencies.push(...await this.lose([this.hosts.members().at(-1)!.name]))
      await this.untilAgreed()
    }
    return quantilesOf(latencies)
  }

  private async domainLoss (): Promise<Quantiles> {
    const lost = this.hosts.members().filter(member => member.failureDomain === 'domain-3').map(member => member.name)
    return quantilesOf(await this.lose(lost))
  }

  /** Crashes the members; gives the time until each other one counts none of them. */
  private async lose (names: readonly string[]): Promise<readonly number[]> {
    await this.hosts.all({ kind: OrderKind.Watch, names })
    const startedAt = clock.now()
    await this.hosts.crash(names)
    const { members } = await this.until(sample => sample.members.every(member => member.goneAt > 0))
    await this.hosts.all({ kind: OrderKind.Watch, names: [] })
    return members.map(member => (member.goneAt || clock.now()) - startedAt)
  }

  private async herd (): Promise<Repair> {
    await this.untilQuiet()
    const share = twoYearSize.herd / twoYearSize.daemons
    const count = Math.max(1, Math.round(this.size * share))
    const names = this.hosts.members().slice(0, count).map(member => member.name)
    return await this.repair(async () => await this.hosts.restart(names, '-b'))
  }

  private async healing (): Promise<Repair> {
    await this.untilQuiet()
    const names = this.hosts.members().filter((_, index) => index % 2 === 0).map(member => member.name)
    await this.hosts.cut(names)
    await pause(SPLIT_MS)
    return await this.repair(async () => await this.hosts.cut([]))
  }

  /** Does something and follows the fleet second by second until it agrees again. */
  private async repair (disturb: () => Promise<void>): Promise<Repair> {
    const count = this.hosts.members().length
    let last = await this.hosts.sample()
    const startedAt = clock.now()
    await disturb()
    let peak = 0
    let averagePeak = 0
    let agreedAt = 0
    while (agreedAt === 0 && clock.now() - startedAt < LONGEST_MS) {
      await pause(SECOND_MS)
      const sample = await this.hosts.sample()
      peak = Math.max(peak, mostSince(last, sample))
      const sent = averageOf(sample, 'sentBytes') - averageOf(last, 'sentBytes')
      const received = averageOf(sample, 'receivedBytes') - averageOf(last, 'receivedBytes')
      averagePeak = Math.max(averagePeak, sent + received)
      agreedAt = isAgreed(sample, count) ? clock.now() : 0
      last = sample
    }
    return { agreedMs: (agreedAt || Infinity) - startedAt, peakPerSecond: peak, averagePeakPerSecond: averagePeak }
  }

  /** Waits until all news has been told. */
  private async untilQuiet (): Promise<void> {
    await this.until(sample => sample.members.every(member => member.rumours === 0))
    await pause(1000)
  }

  private async untilAgreed (): Promise<number> {
    const startedAt = clock.now()
    await this.until(sample => isAgreed(sample, this.hosts.members().length))
    return clock.now() - startedAt
  }

  private async until (isDone: (sample: FleetSample) => boolean): Promise<FleetSample> {
    const deadline = clock.now() + LONGEST_MS
    for (;;) {
      const sample = await this.hosts.sample()
      if (isDone(sample) || clock.now() > deadline) {
        return sample
      }
      await pause(POLL_MS)
    }
  }
}
