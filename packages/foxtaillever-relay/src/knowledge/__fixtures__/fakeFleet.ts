/** Replicas of several instances around one fake store, on a virtual clock. */
import { Failure, FailureCode, SeededRandom, Verdict, waitUntil, type Random } from 'foxtaillever-core'
import type { VirtualClock } from 'foxtaillever-testing'
import { Left, Right, type Either } from 'purify-ts'
import { Logs } from 'foxtaillever-telemetry'
import type { AnnouncedRecords } from '../../peers/peerLink.js'
import type { ReadNotice } from '../../peers/readNotice.js'
import { AnnouncedTopic } from '../../peers/announcedTopic.js'
import { RelayLog } from '../../telemetry/relayLog.js'
import type { KeyedLog, KeyedRecord, NewestPage, RecordPage } from '../keyedLog.js'
import { StoreReplica } from '../storeReplica.js'
import { eraOf, offsetOf, positionAt } from '../storePosition.js'

const ANSWER_MS = 4
const HEARTBEAT_MS = 1000
/** Time within which a configuration must be in force. */
export const CONFIGURATION_BOUND_MS = 2000
/** A call fails this long after the store should have answered, milliseconds. */
const CALL_TIMEOUT_MS = 700
const unanswered = Failure.create(FailureCode.LogUnavailable, Verdict.NotRun, 'down')

/** How one call to the store fails the expectations of its caller. */
export enum CallFault {
  /** It is held to the end of its wait although there is a record. */
  Held = 'held',
  /** It is answered late. */
  Late = 'late',
  /** Its connection is silent: it is never answered. */
  Silent = 'silent'
}

const LATE_MS = 250

/** A store that can be unreachable from some instances. */
export class FakeStore {
  readonly topics = new Map<string, KeyedRecord[]>()
  readonly unreachableFrom = new Set<string>()
  /** Instances whose call is held until there is a record. */
  readonly held = new Set<string>()
  calls = 0
  /** No call gets through. */
  isDown = false
  /** Draws the fault of a call. */
  drawFault: (topic: string) => CallFault | undefined = () => undefined
  private era = 0
  /** Calls sent before this time get no answer, milliseconds of Unix time. */
  private silencedAt = -Infinity
  /** Era in the last answer to each instance. */
  private readonly lastEras = new Map<string, number>()

  constructor (private readonly clock: VirtualClock) {}

  /** A backup of the topics, for a later restore. */
  copy (): ReadonlyMap<string, readonly KeyedRecord[]> {
    return new Map([...this.topics].map(([topic, records]) => [topic, [...records]]))
  }

  /** Loses everything since the copy was made; later offsets are assigned again. */
  restore (copy: ReadonlyMap<string, readonly KeyedRecord[]>): void {
    this.topics.clear()
    copy.forEach((records, topic) => this.topics.set(topic, [...records]))
    this.era += 1
  }

  /** Stops answers on all open connections without closing them; new connections work. */
  silence (): void {
    this.silencedAt = this.clock.now()
  }

  append (topic: string, key: string, value: string | undefined): void {
    const records = this.records(topic)
    records.push({ key, value: value === undefined ? undefined : Buffer.from(value), offset: records.length })
  }

  /** The store as one instance reaches it. */
  of (instance: string): KeyedLog {
    const { lastEras } = this
    return {
      get era () { return lastEras.get(instance) ?? 0 },
      newest: async topic => await this.answer(instance, 0, topic, Infinity, () => this.newest(topic)),
      read: async (topic, from, waitMs) => {
        if (waitMs > 0) {
          this.held.add(instance)
        }
        const answer = await this.answer(instance, waitMs, topic, from, () => this.read(topic, from))
        if (waitMs > 0) {
          this.held.delete(instance)
        }
        return answer
      }
    }
  }

  private records (topic: string): KeyedRecord[] {
    const records = this.topics.get(topic) ?? []
    this.topics.set(topic, records)
    return records
  }

  private withPosition (record: KeyedRecord): KeyedRecord {
    return { ...record, offset: positionAt(this.era, record.offset) }
  }

  private newest (topic: string): NewestPage {
    const byKey = new Map(this.records(topic).map(record => [record.key, record]))
    const records = [...byKey.values()].filter(({ value }) => value !== undefined).map(record => this.withPosition(record))
    return { records, hasMore: false, end: positionAt(this.era, this.records(topic).length) }
  }

  private read (topic: string, from: number): RecordPage {
    const records = this.records(topic).slice(offsetOf(from)).map(record => this.withPosition(record))
    const isGap = eraOf(from) !== this.era || offsetOf(from) > this.records(topic).length
    return { records, next: from + records.length, isGap }
  }

  private async answer<Page> (instance: string, waitMs: number, topic: string, from: number, page: () => Page): Promise<Either<Failure, Page>> {
    this.calls += 1
    const calledAt = this.clock.now()
    const until = calledAt + waitMs
    const fault = this.drawFault(topic)
    do {
      await waitUntil(this.clock, this.clock.now() + ANSWER_MS)
    } while (!this.isUnreachableFrom(instance) && this.clock.now() < until && (this.endsAt(topic, from) || fault === CallFault.Held))
    if (fault === CallFault.Late) {
      await waitUntil(this.clock, this.clock.now() + LATE_MS)
    }
    const isSilent = calledAt < this.silencedAt || fault === CallFault.Silent
    if (isSilent) {
      await waitUntil(this.clock, until + CALL_TIMEOUT_MS)
    }
    if (isSilent || this.isUnreachableFrom(instance)) {
      return Left(unanswered)
    }
    this.lastEras.set(instance, this.era)
    return Right(page())
  }

  private endsAt (topic: string, position: number): boolean {
    return positionAt(this.era, this.records(topic).length) === position
  }

  private isUnreachableFrom (instance: string): boolean {
    return this.isDown || this.unreachableFrom.has(instance)
  }
}

export interface FakeInstance {
  readonly name: string
  readonly replica: StoreReplica
  /** The newest value of each key, as this instance knows it. */
  readonly values: Map<string, string>
  /** When it learned of each key's last change, milliseconds of Unix time. */
  readonly learnedAt: Map<string, number>
  isAlive: boolean
}

/** Removes the heartbeat's counter, which follows the vertical bar of an entry. */
function withoutHeartbeatCount (value: string): string {
  return value.split('|')[0] ?? ''
}

function revisionOf (values: ReadonlyMap<string, string>): number {
  return Number(values.get('config') ?? -1) || -1
}

export class FakeFleet {
  readonly instances: FakeInstance[] = []
  /** Instances whose datagrams are lost. */
  readonly muted = new Set<string>()
  /** Share of the datagrams that are lost, drawn one by one. */
  lossShare = 0
  private readonly lossRandom: Random = SeededRandom.create(11)
  /** Instances whose calls to others fail. */
  readonly cutOff = new Set<string>()
  /** Instances that the store answered at the last heartbeat. */
  private readonly answered = new Set<string>()

  /** @param serverRecords creates what applies the records of servers at an instance, in place of recording their values. */
  constructor (
    private readonly clock: VirtualClock,
    readonly store: FakeStore,
    names: readonly string[],
    private readonly wallSeconds = () => clock.now() / 1000,
    private readonly serverRecords?: (instance: string) => (record: KeyedRecord) => boolean
  ) {
    names.forEach((name, index) => this.instances.push(this.create(name, `domain-${index % 3}`)))
    this.instances.forEach(({ replica }) => replica.start())
    this.recordHeartbeat()
  }

  get (name: string): FakeInstance {
    return this.instances.find(instance => instance.name === name) as FakeInstance
  }

  /** Starts another instance. */
  add (name: string): FakeInstance {
    const instance = this.create(name, `domain-${this.instances.length % 3}`)
    this.instances.push(instance)
    instance.replica.start()
    return instance
  }

  kill (name: string): void {
    this.get(name).isAlive = false
    this.get(name).replica.stop()
  }

  private recordHeartbeat (): void {
    this.instances.forEach(({ name, replica }) => replica.hasStore ? this.answered.add(name) : this.answered.delete(name))
    this.clock.at(this.clock.now() + HEARTBEAT_MS, () => this.recordHeartbeat())
  }

  private create (name: string, failureDomain: string): FakeInstance {
    const { clock } = this
    const values = new Map<string, string>()
    const learnedAt = new Map<string, number>()
    const appliedOffsets = new Map<string, number>()
    const others = (): FakeInstance[] => this.instances.filter(other => other.name !== name && other.isAlive)
    // Numeric contents are versions.
    const applyRecord = ({ key, value, offset }: KeyedRecord): boolean => {
      const text = value === undefined ? '' : withoutHeartbeatCount(value.toString())
      const known = values.get(key)
      const isOlder = Number(text) < Number(known) || (offset < (appliedOffsets.get(key) ?? -1) && !(Number(text) > Number(known)))
      if (known === text || isOlder) {
        return false
      }
      appliedOffsets.set(key, offset)
      values.set(key, text)
      learnedAt.set(key, clock.now())
      return true
    }
    const replica = StoreReplica.create({
      clock,
      random: SeededRandom.create(7),
      wallSeconds: this.wallSeconds,
      log: this.store.of(name),
      topics: { [AnnouncedTopic.Operators]: 'operators', [AnnouncedTopic.Servers]: 'servers' },
      relayLog: RelayLog.create(Logs.create({ instance: name, level: 'silent', clock })),
      link: () => ({ fetchRecords: async (address, topic, from) => this.cutOff.has(name) ? Left(unanswered) : this.fetchRecords(address, topic, from) }),
      peers: () => others().map(other => ({ address: other.name, positions: other.replica.positions, revision: revisionOf(other.values) })),
      revision: () => revisionOf(values),
      onRestored: () => {},
      configurationBoundMs: CONFIGURATION_BOUND_MS,
      self: { name, failureDomain },
      readers: () => others().filter(other => this.answered.has(other.name)).map(other => ({ name: other.name, failureDomain: `domain-${this.instances.indexOf(other) % 3}` })),
      notify: notice => this.deliver(name, { ...notice, address: name }),
      onRecord: {
        [AnnouncedTopic.Operators]: record => record.value === undefined ? false : applyRecord(record),
        [AnnouncedTopic.Servers]: this.serverRecords?.(name) ?? applyRecord
      }
    })
    return { name, replica, values, learnedAt, isAlive: true }
  }

  private deliver (from: string, notice: ReadNotice): void {
    if (!this.muted.has(from)) {
      this.clock.at(this.clock.now() + 1, () => this.instances.filter(({ name, isAlive }) => isAlive && name !== from && this.lossRandom.next() >= this.lossShare).forEach(({ replica }) => replica.handleNotice(notice)))
    }
  }

  private async fetchRecords (address: string, topic: AnnouncedTopic, from: number): Promise<Either<Failure, AnnouncedRecords>> {
    const other = this.get(address)
    return other.isAlive ? Right(other.replica.updateSince(topic, from)) : Left(unanswered)
  }
}
