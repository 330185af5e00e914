/** Runs all measurements on one fleet of members without a router, over loopback. */
import { waitUntil, SystemClock, type LogRecord } from 'foxtaillever-core'
import { HostPool, type FleetSample } from '../members/hostPool.js'
import { HostCommandKind } from '../members/hostCommands.js'
import { computeQuantiles, type Quantiles } from '../report/quantiles.js'
import { twoYearSize } from '../sizes.js'
import { createPresetSwitch, createFullRecord } from './syntheticConfiguration.js'

/** Traffic and processor time of one daemon. */
export interface Spending {
  readonly sentPerSecond: number
  readonly receivedPerSecond: number
  /** Bytes that the busiest member sent and received. */
  readonly maxPerSecond: number
  readonly corePercent: number
}

export interface Repair {
  /** Time until all members had the same member table, milliseconds. */
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
  /** Cost while each member shares one fact a second. */
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
const MAX_WAIT_MS = 90_000
const CHANGE_COUNT = 4
const DEATH_COUNT = 4
const SPLIT_MS = 20_000
/** Time after which every read of the log has failed, so that members know that it is down. */
const LOG_DOWN_MS = 4500

const clock = SystemClock.create()

async function pause (milliseconds: number): Promise<void> {
  await waitUntil(clock, clock.now() + milliseconds)
}

function totalBytesByMember ({ members }: FleetSample): ReadonlyMap<string, number> {
  return new Map(members.map(member => [member.name, member.sentBytes + member.receivedBytes + member.peerBytes]))
}

function findMaxBytesSince (earlier: FleetSample, later: FleetSample): number {
  const start = totalBytesByMember(earlier)
  return Math.max(...[...totalBytesByMember(later)].map(([name, bytes]) => bytes - (start.get(name) ?? 0)))
}

/** Bytes of procedure answers count as sent and as received, since each is sent by one member and received by another. */
function computeAverage (sample: FleetSample, field: 'sentBytes' | 'receivedBytes'): number {
  return sample.members.reduce((sum, member) => sum + member[field] + member.peerBytes, 0) / sample.members.length
}

function isAgreed ({ members }: FleetSample, size: number): boolean {
  return members.length === size && members.every(member => member.members === size && member.membersHash === members[0]!.membersHash)
}

export class FleetRun {
  private revision = 0

  private constructor (private readonly hosts: HostPool, private readonly size: number) {}

  static async measure (size: number, report: (line: string) => void): Promise<FleetFigures> {
    const hosts = await HostPool.create(size, size)
    const empty = await hosts.sample(true)
    const run = new FleetRun(hosts, size)
    const figures = await run.measureAll(empty.heapBytes, report)
    await hosts.end()
    return figures
  }

  private async measureAll (emptyHeap: number, report: (line: string) => void): Promise<FleetFigures> {
    const reportStep = (step: string): void => report(`${this.size} members: ${step}`)
    await this.hosts.startMembers(this.size)
    const joinMs = await this.waitUntilAgreed()
    reportStep('joined')
    const whole = createFullRecord(this.hosts.nextOffset())
    await this.hosts.append(whole)
    this.revision = whole.offset
    await this.waitUntilQuiet()
    const steady = await this.measureSpending(STEADY_MS)
    const { heapBytes } = await this.hosts.sample(true)
    reportStep('steady')
    const changeLogUp = await this.measureChanges(async record => await this.hosts.append(record))
    const changeLogDown = await this.measureChangesWithLogDown()
    reportStep('changed')
    const sharing = await this.measureSharing()
    reportStep('shared')
    const death = await this.measureDeaths()
    reportStep('dead')
    const herd = await this.measureHerdRestart()
    reportStep('restarted')
    const healing = await this.measureHealing()
    reportStep('healed')
    const domainLoss = await this.measureDomainLoss()
    const heapPerMember = (heapBytes - emptyHeap) / this.size
    return { size: this.size, joinMs, heapPerMember, steady, sharing, changeLogUp, changeLogDown, death, domainLoss, herd, healing }
  }

  private async measureSpending (milliseconds: number): Promise<Spending> {
    const before = await this.hosts.sample()
    const cpu = process.cpuUsage()
    const startedAt = clock.now()
    await pause(milliseconds)
    const used = process.cpuUsage(cpu)
    const seconds = (clock.now() - startedAt) / SECOND_MS
    const after = await this.hosts.sample()
    return {
      sentPerSecond: (computeAverage(after, 'sentBytes') - computeAverage(before, 'sentBytes')) / seconds,
      receivedPerSecond: (computeAverage(after, 'receivedBytes') - computeAverage(before, 'receivedBytes')) / seconds,
      maxPerSecond: findMaxBytesSince(before, after) / seconds,
      corePercent: (used.user + used.system) / 1e6 / seconds / this.size * 100
    }
  }

  private async measureSharing (): Promise<Spending> {
    await this.hosts.sendToAll({ kind: HostCommandKind.Share, facts: 1, periodMs: SECOND_MS })
    await pause(3000)
    const spending = await this.measureSpending(STEADY_MS)
    await this.hosts.sendToAll({ kind: HostCommandKind.Share, facts: 0, periodMs: 0 })
    await pause(2000)
    return spending
  }

  /** Measures the latency of changes from the append until each member has them. */
  private async measureChanges (publish: (record: LogRecord) => Promise<void>): Promise<Quantiles> {
    const latencies: number[] = []
    for (let index = 0; index < CHANGE_COUNT; index += 1) {
      const record = createPresetSwitch(this.hosts.nextOffset(), this.revision)
      const startedAt = clock.now()
      await publish(record)
      this.revision = record.offset
      const { members } = await this.waitForSample(sample => sample.members.every(member => member.revision >= record.offset))
      latencies.push(...members.map(member => member.revisionAt - startedAt))
    }
    return computeQuantiles(latencies)
  }

  /** Gives each change to one member while the log is down; the others receive it from each other. */
  private async measureChangesWithLogDown (): Promise<Quantiles> {
    await this.hosts.sendToAll({ kind: HostCommandKind.SetLog, down: true })
    await pause(LOG_DOWN_MS)
    const missedRecords: LogRecord[] = []
    const quantiles = await this.measureChanges(async record => {
      missedRecords.push(record)
      this.hosts.advanceOffset()
      await this.hosts.sendToAll({ kind: HostCommandKind.Append, record, only: 'entry-0' })
    })
    for (const record of missedRecords) {
      await this.hosts.append(record)
    }
    await this.hosts.sendToAll({ kind: HostCommandKind.SetLog, down: false })
    await pause(2000)
    return quantiles
  }

  private async measureDeaths (): Promise<Quantiles> {
    const latencies: number[] = []
    for (let index = 0; index < DEATH_COUNT; index += 1) {
      latencies.push(...await this.crashMembers([this.hosts.members().at(-1)!.name]))
      await this.waitUntilAgreed()
    }
    return computeQuantiles(latencies)
  }

  private async measureDomainLoss (): Promise<Quantiles> {
    const lost = this.hosts.members().filter(member => member.failureDomain === 'domain-3').map(member => member.name)
    return computeQuantiles(await this.crashMembers(lost))
  }

  /** Crashes the members; returns for each remaining member the time until it has removed them all. */
  private async crashMembers (names: readonly string[]): Promise<readonly number[]> {
    await this.hosts.sendToAll({ kind: HostCommandKind.Watch, names })
    const startedAt = clock.now()
    await this.hosts.crash(names)
    const { members } = await this.waitForSample(sample => sample.members.every(member => member.goneAt > 0))
    await this.hosts.sendToAll({ kind: HostCommandKind.Watch, names: [] })
    return members.map(member => (member.goneAt || clock.now()) - startedAt)
  }

  private async measureHerdRestart (): Promise<Repair> {
    await this.waitUntilQuiet()
    const share = twoYearSize.herd / twoYearSize.daemons
    const count = Math.max(1, Math.round(this.size * share))
    const names = this.hosts.members().slice(0, count).map(member => member.name)
    return await this.measureRepair(async () => await this.hosts.restart(names, '-b'))
  }

  private async measureHealing (): Promise<Repair> {
    await this.waitUntilQuiet()
    const names = this.hosts.members().filter((_, index) => index % 2 === 0).map(member => member.name)
    await this.hosts.partition(names)
    await pause(SPLIT_MS)
    return await this.measureRepair(async () => await this.hosts.partition([]))
  }

  /** Causes a disturbance and samples the fleet every second until all members agree again. */
  private async measureRepair (disturb: () => Promise<void>): Promise<Repair> {
    const count = this.hosts.members().length
    let last = await this.hosts.sample()
    const startedAt = clock.now()
    await disturb()
    let peak = 0
    let averagePeak = 0
    let agreedAt = 0
    while (agreedAt === 0 && clock.now() - startedAt < MAX_WAIT_MS) {
      await pause(SECOND_MS)
      const sample = await this.hosts.sample()
      peak = Math.max(peak, findMaxBytesSince(last, sample))
      const sent = computeAverage(sample, 'sentBytes') - computeAverage(last, 'sentBytes')
      const received = computeAverage(sample, 'receivedBytes') - computeAverage(last, 'receivedBytes')
      averagePeak = Math.max(averagePeak, sent + received)
      agreedAt = isAgreed(sample, count) ? clock.now() : 0
      last = sample
    }
    return { agreedMs: (agreedAt || Infinity) - startedAt, peakPerSecond: peak, averagePeakPerSecond: averagePeak }
  }

  /** Waits until no member has updates left to announce. */
  private async waitUntilQuiet (): Promise<void> {
    await this.waitForSample(sample => sample.members.every(member => member.rumours === 0))
    await pause(1000)
  }

  private async waitUntilAgreed (): Promise<number> {
    const startedAt = clock.now()
    await this.waitForSample(sample => isAgreed(sample, this.hosts.members().length))
    return clock.now() - startedAt
  }

  private async waitForSample (isDone: (sample: FleetSample) => boolean): Promise<FleetSample> {
    const deadline = clock.now() + MAX_WAIT_MS
    for (;;) {
      const sample = await this.hosts.sample()
      if (isDone(sample) || clock.now() > deadline) {
        return sample
      }
      await pause(POLL_MS)
    }
  }
}
