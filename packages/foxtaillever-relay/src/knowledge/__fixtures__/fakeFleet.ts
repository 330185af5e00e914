/** Several instances' knowledge around one fake store, on a virtual clock. */
import { Failure, FailureCode, SeededRandom, Verdict } from 'foxtaillever-core'
import type { VirtualClock } from 'foxtaillever-testing'
import { Left, Right, type Either } from 'purify-ts'
import { Logs } from 'foxtaillever-telemetry'
import type { AnnouncedRecords } from '../../peers/peerLink.js'
import type { ReadNotice } from '../../peers/readNotice.js'
import { AnnouncedTopic } from '../../peers/announcedTopic.js'
import { RelayLog } from '../../telemetry/relayLog.js'
import type { KeyedLog, KeyedRecord, NewestPage, RecordPage } from '../keyedLog.js'
import { Knowledge } from '../knowledge.js'
import { eraOf, offsetOf, positionAt } from '../storePosition.js'

const ANSWER_MS = 4
const BEAT_MS = 1000
/** A call fails so long after the store should have answered, milliseconds. */
const GIVEN_UP_MS = 700
const unanswered = Failure.create(FailureCode.LogUnavailable, Verdict.NotRun, 'down')

/** One store; it may turn single instances away. */
export class FakeStore {
  readonly topics = new Map<string, KeyedRecord[]>()
  readonly dark = new Set<string>()
  /** Instances whose call is held until there is a record. */
  readonly held = new Set<string>()
  calls = 0
  /** No call gets through. */
  isAway = false
  private era = 0
  /** Calls from before then get no answer any more, milliseconds of Unix time. */
  private silencedAt = -Infinity
  /** The era that the last answer to an instance named. */
  private readonly named = new Map<string, number>()

  constructor (private readonly clock: VirtualClock) {}

  /** What the topics hold, to restore it later. */
  copy (): ReadonlyMap<string, readonly KeyedRecord[]> {
    return new Map([...this.topics].map(([topic, records]) => [topic, [...records]]))
  }

  /** Loses everything since the copy was made; offsets since then are given out again. */
  restore (copy: ReadonlyMap<string, readonly KeyedRecord[]>): void {
    this.topics.clear()
    copy.forEach((records, topic) => this.topics.set(topic, [...records]))
    this.era += 1
  }

  /** All connections go silent without a word; new ones work. */
  silence (): void {
    this.silencedAt = this.clock.now()
  }

  append (topic: string, key: string, value: string | undefined): void {
    const records = this.records(topic)
    records.push({ key, value: value === undefined ? undefined : Buffer.from(value), offset: records.length })
  }

  /** The store as one instance reaches it. */
  of (instance: string): KeyedLog {
    const { named } = this
    return {
      get era () { return named.get(instance) ?? 0 },
      newest: async topic => await this.answer(instance, 0, topic, Infinity, () => this.newest(topic)),
      read: async (topic, from, waitMs) => {
        if (waitMs > 0) {
          this.held.add(instance)
        }
        const answer = await this.answer(instance, waitMs, topic, from, () => this.read(topic, from))
        this.held.delete(instance)
        return answer
      }
    }
  }

  private records (topic: string): KeyedRecord[] {
    const records = this.topics.get(topic) ?? []
    this.topics.set(topic, records)
    return records
  }

  private placed (record: KeyedRecord): KeyedRecord {
    return { ...record, offset: positionAt(this.era, record.offset) }
  }

  private newest (topic: string): NewestPage {
    const byKey = new Map(this.records(topic).map(record => [record.key, record]))
    const records = [...byKey.values()].filter(({ value }) => value !== undefined).map(record => this.placed(record))
    return { records, hasMore: false, end: positionAt(this.era, this.records(topic).length) }
  }

  private read (topic: string, from: number): RecordPage {
    const records = this.records(topic).slice(offsetOf(from)).map(record => this.placed(record))
    const isGap = eraOf(from) !== this.era || offsetOf(from) > this.records(topic).length
    return { records, next: from + records.length, isGap }
  }

  private async answer<Page> (instance: string, waitMs: number, topic: string, from: number, page: () => Page): Promise<Either<Failure, Page>> {
    this.calls += 1
    const calledAt = this.clock.now()
    const until = calledAt + waitMs
    do {
      await new Promise<void>(resolve => { this.clock.at(this.clock.now() + ANSWER_MS, resolve) })
    } while (!this.isDarkFor(instance) && this.clock.now() < until && this.endsAt(topic, from))
    if (calledAt < this.silencedAt) {
      await new Promise<void>(resolve => { this.clock.at(until + GIVEN_UP_MS, resolve) })
    }
    if (calledAt < this.silencedAt || this.isDarkFor(instance)) {
      return Left(unanswered)
    }
    this.named.set(instance, this.era)
    return Right(page())
  }

  private endsAt (topic: string, position: number): boolean {
    return positionAt(this.era, this.records(topic).length) === position
  }

  private isDarkFor (instance: string): boolean {
    return this.isAway || this.dark.has(instance)
  }
}

export interface FakeInstance {
  readonly name: string
  readonly knowledge: Knowledge
  /** What it believes: the newest value of each key. */
  readonly beliefs: Map<string, string>
  /** When it learned of each key's last change, milliseconds of Unix time. */
  readonly learnedAt: Map<string, number>
  isAlive: boolean
}

/** Heartbeats repeat an entry with another count after the stroke. */
function withoutBeat (value: string): string {
  return value.split('|')[0] ?? ''
}

function revisionOf (beliefs: ReadonlyMap<string, string>): number {
  return Number(beliefs.get('config') ?? -1) || -1
}

export class FakeFleet {
  readonly instances: FakeInstance[] = []
  /** Instances whose datagrams are lost. */
  readonly mute = new Set<string>()
  /** Instances whose calls to others fail. */
  readonly cut = new Set<string>()
  /** Whom the store answered at the last beat. */
  private readonly answered = new Set<string>()

  constructor (private readonly clock: VirtualClock, readonly store: FakeStore, names: readonly string[], private readonly wallSeconds = () => clock.now() / 1000) {
    names.forEach((name, index) => this.instances.push(this.create(name, `domain-${index % 3}`)))
    this.instances.forEach(({ knowledge }) => knowledge.start())
    this.beat()
  }

  get (name: string): FakeInstance {
    return this.instances.find(instance => instance.name === name) as FakeInstance
  }

  /** An instance starts. */
  add (name: string): FakeInstance {
    const instance = this.create(name, `domain-${this.instances.length % 3}`)
    this.instances.push(instance)
    instance.knowledge.start()
    return instance
  }

  kill (name: string): void {
    this.get(name).isAlive = false
    this.get(name).knowledge.stop()
  }

  private beat (): void {
    this.instances.forEach(({ name, knowledge }) => knowledge.hasStore ? this.answered.add(name) : this.answered.delete(name))
    this.clock.at(this.clock.now() + BEAT_MS, () => this.beat())
  }

  private create (name: string, failureDomain: string): FakeInstance {
    const { clock } = this
    const beliefs = new Map<string, string>()
    const learnedAt = new Map<string, number>()
    const takenAt = new Map<string, number>()
    const others = (): FakeInstance[] => this.instances.filter(other => other.name !== name && other.isAlive)
    // Contents that are numbers are versions.
    const take = ({ key, value, offset }: KeyedRecord): boolean => {
      const text = value === undefined ? '' : withoutBeat(value.toString())
      const known = beliefs.get(key)
      const isOlder = Number(text) < Number(known) || (offset < (takenAt.get(key) ?? -1) && !(Number(text) > Number(known)))
      if (known === text || isOlder) {
        return false
      }
      takenAt.set(key, offset)
      beliefs.set(key, text)
      learnedAt.set(key, clock.now())
      return true
    }
    const knowledge = Knowledge.create({
      clock,
      random: SeededRandom.create(7),
      wallSeconds: this.wallSeconds,
      log: this.store.of(name),
      topics: { [AnnouncedTopic.Operators]: 'operators', [AnnouncedTopic.Servers]: 'servers' },
      relayLog: RelayLog.create(Logs.create({ instance: name, level: 'silent', clock })),
      link: () => ({ fetchRecords: async (address, topic, from) => this.cut.has(name) ? Left(unanswered) : this.ask(address, topic, from) }),
      peers: () => others().map(other => ({ address: other.name, positions: other.knowledge.positions, revision: revisionOf(other.beliefs) })),
      revision: () => revisionOf(beliefs),
      onRestored: () => {},
      self: { name, failureDomain },
      readers: () => others().filter(other => this.answered.has(other.name)).map(other => ({ name: other.name, failureDomain: `domain-${this.instances.indexOf(other) % 3}` })),
      notify: notice => this.deliver(name, { ...notice, address: name }),
      onRecord: {
        [AnnouncedTopic.Operators]: record => record.value === undefined ? false : take(record),
        [AnnouncedTopic.Servers]: take
      }
    })
    return { name, knowledge, beliefs, learnedAt, isAlive: true }
  }

  private deliver (from: string, notice: ReadNotice): void {
    if (!this.mute.has(from)) {
      this.clock.at(this.clock.now() + 1, () => this.instances.filter(({ name, isAlive }) => isAlive && name !== from).forEach(({ knowledge }) => knowledge.hear(notice)))
    }
  }

  private async ask (address: string, topic: AnnouncedTopic, from: number): Promise<Either<Failure, AnnouncedRecords>> {
    const other = this.get(address)
    return other.isAlive ? Right(other.knowledge.tell(topic, from)) : Left(unanswered)
  }
}
