/**
 * A history of a fleet whose backend servers run several software versions, drawn
 * from a seed: instances are killed, one by one or all at once, cut off, out of step and added, datagrams are lost and
 * versions come and go while callers take streams up at other instances. Some callers do not name the stream.
 */
import { Failure, FailureCode, SeededRandom, Verdict, waitUntil, type Random } from 'foxtaillever-core'
import { ServedVersions } from 'foxtaillever-policy/relay/servedVersions'
import { VirtualClock } from 'foxtaillever-testing/virtualClock'
import { Left, Right, type Either } from 'purify-ts'
import type { WritableKeyedLog } from '../../knowledge/memberRegistry.js'
import { StreamHolders } from '../streamHolders.js'
import type { StreamVersionMessage } from '../streamVersionMessage.js'
import { StreamVersions, type StreamOrigin } from '../streamVersions.js'
import { VersionRecords } from '../versionRecords.js'

const SERVICE = 's'
const HISTORY_MS = 40_000
const DOMAINS = 3

/** Between two streams that begin, milliseconds. */
const STREAM_INTERVAL_MS = 20

/** A stream breaks this long after it began, and its caller takes it up, milliseconds. */
const BREAKS_AFTER_MS = { least: 30, most: 3000 }
const MAX_TAKEN_UP = 3
const DATAGRAM_MS = { least: 1, most: 5 }

/** Time until an instance knows of a server that started or left, or of another instance, milliseconds. */
const DISCOVERY_MS = 1200

/** Share of datagrams that are lost while links are bad. */
const BAD_LOSS = 0.3
const USUAL_LOSS = 0.002

/** Time of an answer of the store, milliseconds. */
const STORE_MS = 5

/** Instances that write the records of a service. */
const WRITERS = 2

/** Share of callers that do not name the stream that they take up. */
const UNNAMED_SHARE = 0.3

const unanswered = Failure.create(FailureCode.LogUnavailable, Verdict.NotRun, 'out of step')

/** A caller hears at the latest by then whether its stream goes on, milliseconds. */
const DECIDED_WITHIN_MS = 200

export interface StreamVersionReport {
  readonly violations: readonly string[]
  /**
   * Streams that were taken up while servers of their version served, and those of them that went on. Left out are those that
   * nobody can know: their callers do not name them, all instances were killed since, or one of the two instances is out of step.
   */
  readonly takenUp: number
  readonly wentOn: number
}

interface Node {
  readonly address: string
  readonly failureDomain: string
  streams: StreamVersions
  holders: StreamHolders
  served: ServedVersions
  /** Until when it receives and sends nothing, milliseconds of Unix time. */
  cutUntil: number
  /** Since when and until when its callers reach it, and neither instances nor the store do; milliseconds of Unix time. */
  outOfStepFrom: number
  outOfStepUntil: number
  /** When it last read the list of servers itself, milliseconds of Unix time. */
  listReadAt: number
  records: VersionRecords
  restartsAt: number
}

interface BegunStream {
  readonly id: string
  readonly softwareVersion: string
  /** Milliseconds of Unix time. */
  readonly beganAt: number
  /** Whether the instance that began it was out of step. */
  readonly isOutOfStep: boolean
}

interface Take {
  /** Milliseconds of Unix time. */
  readonly askedAt: number
  /** Whether the caller names the stream. */
  readonly isNamed: boolean
}

interface Change {
  readonly at: number
  readonly version: string
  readonly isServing: boolean
}

export class StreamVersionHistory {
  private readonly clock = VirtualClock.create()
  private readonly random: Random
  private readonly nodes: Node[] = []
  private readonly changes: Change[] = [{ at: 0, version: 'v1', isServing: true }]
  private readonly violations: string[] = []
  /** Records in the store. */
  private readonly records = new Map<string, Buffer>()
  /** When all instances were last killed at once, milliseconds of Unix time. */
  private allKilledAt = -Infinity
  private loss = USUAL_LOSS
  private begun = 0
  private takenUp = 0
  private wentOn = 0

  private constructor (seed: number) {
    this.random = SeededRandom.create(seed)
    const size = 2 + this.random.below(seed % 4 === 0 ? 60 : 8)
    for (let index = 0; index < size; index += 1) {
      this.addNode()
    }
    this.nodes.forEach(node => this.refreshMembers(node))
  }

  static async play (seed: number): Promise<StreamVersionReport> {
    const history = new StreamVersionHistory(seed)
    await history.run()
    return { violations: history.violations, takenUp: history.takenUp, wentOn: history.wentOn }
  }

  private async run (): Promise<void> {
    const { clock } = this
    const until = clock.now() + HISTORY_MS
    this.scheduleFault()
    this.scheduleRelease()
    for (; clock.now() < until; await clock.advanceTo(clock.now() + STREAM_INTERVAL_MS)) {
      const node = this.drawUp()
      if (node) {
        this.beginStream(node)
      }
    }
    await clock.advanceTo(until + DECIDED_WITHIN_MS)
    this.nodes.forEach(({ streams, records }) => {
      streams.stop()
      records.stop()
    })
  }

  private addNode (): Node {
    const index = this.nodes.length
    const own = { address: `i${index}`, failureDomain: `d${index % DOMAINS}` }
    const node: Node = { ...own, holders: StreamHolders.create(own), served: ServedVersions.create(), streams: this.createStreams(index), records: this.createRecords(index), cutUntil: 0, outOfStepFrom: 0, outOfStepUntil: 0, listReadAt: -Infinity, restartsAt: 0 }
    this.nodes.push(node)
    node.records.start()
    return node
  }

  /** Only two instances write, the first ones that are up. */
  private createRecords (index: number): VersionRecords {
    const node = (): Node => this.nodes[index] as Node
    const versionsOf = (service: string): readonly string[] => node().served.recent(service, this.versionsKnownTo(node()), this.clock.now())
    return VersionRecords.create({
      clock: this.clock,
      log: this.storeOf(node),
      topic: 'versions',
      relayLog: { belief: () => {}, trouble: () => {} },
      services: () => [SERVICE],
      versionsOf,
      isWriter: () => this.nodes.filter(other => this.isUp(other)).slice(0, WRITERS).includes(node()),
      onRead: (service, versions) => node().served.recordSeen(service, versions, this.clock.now())
    })
  }

  /** The store as an instance reaches it, which is killed or out of step at times. */
  private storeOf (node: () => Node): WritableKeyedLog {
    const { clock, records } = this
    const answer = async <Value> (value: () => Value): Promise<Either<Failure, Value>> => {
      const { streams } = node()
      await waitUntil(clock, clock.now() + STORE_MS)
      return this.isUp(node()) && !this.isOutOfStep(node()) && node().streams === streams ? Right(value()) : Left(unanswered)
    }
    return {
      era: 0,
      newest: async () => await answer(() => ({ records: [...records].map(([key, value], offset) => ({ key, value, offset })), hasMore: false, end: records.size })),
      read: async (_, from) => await answer(() => ({ records: [], next: from, isGap: false })),
      put: async (_, key, value) => await answer(() => { records.set(key, value) })
    }
  }

  private isOutOfStep ({ outOfStepUntil }: Node): boolean {
    return this.clock.now() < outOfStepUntil
  }

  /** Reads the list of servers, unless the instance is out of step. */
  private refreshList (node: Node): void {
    const { clock } = this
    const calledAt = clock.now()
    clock.at(calledAt + STORE_MS, () => {
      if (!this.isOutOfStep(node)) {
        node.listReadAt = calledAt
      }
    })
  }

  /** Time as of which the instance knows the list. */
  private listKnownAt (node: Node): number {
    const delay = Number(node.address.slice(1)) * 397 % DISCOVERY_MS
    const heardAt = this.isOutOfStep(node) ? node.outOfStepFrom : this.clock.now()
    return Math.max(heardAt - delay, node.listReadAt)
  }

  private createStreams (index: number): StreamVersions {
    const node = (): Node => this.nodes[index] as Node
    return StreamVersions.create({
      clock: this.clock,
      address: () => node().address,
      holdersOf: id => node().holders.of(id),
      askedFor: id => node().holders.asked(id),
      versionsOf: service => node().served.recent(service, this.versionsKnownTo(node()), this.clock.now()),
      knowsRecentVersions: () => node().records.isRead,
      listKnownAt: () => this.listKnownAt(node()),
      refreshList: () => this.refreshList(node()),
      send: (address, message) => this.transmit(node(), address, message)
    })
  }

  private transmit (from: Node, address: string, message: StreamVersionMessage): void {
    const { clock, random } = this
    const to = this.nodes.find(node => node.address === address)
    const { streams } = to ?? {}
    if (!to || !this.isUp(from) || this.isOutOfStep(from) || random.next() < this.loss) {
      return
    }
    clock.at(clock.now() + drawBetween(random, DATAGRAM_MS), () => {
      if (this.isUp(to) && !this.isOutOfStep(to) && to.streams === streams) {
        to.streams.receive(message)
      }
    })
  }

  private refreshMembers (node: Node): void {
    node.holders.setMembers(this.nodes.filter(other => other !== node).map(({ address, failureDomain }) => ({ address, failureDomain })))
  }

  private isUp ({ restartsAt, cutUntil }: Node): boolean {
    const now = this.clock.now()
    return restartsAt <= now && cutUntil <= now
  }

  private drawUp (): Node | undefined {
    const up = this.nodes.filter(node => this.isUp(node))
    return up[this.random.below(up.length)]
  }

  private servingAt (time: number): string[] {
    const serving = new Set<string>()
    this.changes.filter(({ at }) => at <= time).forEach(({ version, isServing }) => { serving[isServing ? 'add' : 'delete'](version) })
    return [...serving]
  }

  /** Each instance learns of a change at a moment of its own. */
  private versionsKnownTo (node: Node): string[] {
    return this.servingAt(this.listKnownAt(node))
  }

  private beginStream (node: Node): void {
    const { clock, random } = this
    const versions = this.versionsKnownTo(node)
    const softwareVersion = versions[random.below(versions.length)]
    if (softwareVersion === undefined) {
      return
    }
    const stream: BegunStream = { id: `stream-${this.begun++}`, softwareVersion, beganAt: clock.now(), isOutOfStep: this.isOutOfStep(node) }
    node.streams.record({ id: stream.id, service: SERVICE, softwareVersion })
    this.breakStream(stream, MAX_TAKEN_UP)
    clock.at(clock.now(), () => node.streams.handleServersChanged(SERVICE))
  }

  /** The stream breaks, and its caller takes it up at another instance. */
  private breakStream (stream: BegunStream, triesLeft: number): void {
    const { clock, random } = this
    clock.at(clock.now() + drawBetween(random, BREAKS_AFTER_MS), () => {
      const node = this.drawUp()
      if (!node || triesLeft === 0) {
        return
      }
      const { streams } = node
      const askedAt = clock.now()
      const isNamed = random.next() >= UNNAMED_SHARE
      streams.find(SERVICE, isNamed ? stream.id : '', origin => {
        if (node.streams === streams && this.isUp(node)) {
          this.takeUp(node, stream, origin, { askedAt, isNamed })
          this.breakStream(stream, triesLeft - 1)
        }
      })
    })
  }

  private takeUp (node: Node, { id, softwareVersion, beganAt, isOutOfStep }: BegunStream, { softwareVersion: found }: StreamOrigin, { askedAt, isNamed }: Take): void {
    const known = this.versionsKnownTo(node)
    const candidates = known.filter(version => version === found)
    const other = candidates.find(version => version !== softwareVersion)
    if (other !== undefined) {
      this.violations.push(`${id} of ${softwareVersion} goes on at ${other}`)
    }
    if (this.clock.now() > askedAt + DECIDED_WITHIN_MS) {
      this.violations.push(`${id} waited for ${this.clock.now() - askedAt} ms`)
    }
    const canBeKnown = isNamed && !isOutOfStep && !this.isOutOfStep(node) && beganAt > this.allKilledAt
    if (canBeKnown && known.includes(softwareVersion)) {
      this.takenUp += 1
      this.wentOn += candidates.length > 0 ? 1 : 0
    }
    if (candidates.length > 0 && isNamed) {
      node.streams.record({ id, service: SERVICE, softwareVersion })
    }
  }

  private scheduleFault (): void {
    const { clock, random, nodes } = this
    const faults: ReadonlyArray<() => void> = [
      () => this.kill(this.drawUp()),
      () => nodes.filter(() => random.next() < 0.3).forEach(node => this.kill(node)),
      () => {
        this.allKilledAt = clock.now()
        nodes.forEach(node => this.kill(node))
      },
      () => nodes.filter(() => random.next() < 0.3).forEach(node => Object.assign(node, { outOfStepFrom: clock.now(), outOfStepUntil: clock.now() + random.below(4000) })),
      () => nodes.filter(() => random.next() < 0.3).forEach(node => { node.cutUntil = clock.now() + random.below(4000) }),
      () => {
        this.loss = BAD_LOSS
        clock.at(clock.now() + random.below(4000), () => { this.loss = USUAL_LOSS })
      },
      () => {
        const added = this.addNode()
        this.refreshMembers(added)
        nodes.forEach(node => clock.at(clock.now() + random.below(DISCOVERY_MS), () => this.refreshMembers(node)))
      }
    ]
    clock.at(clock.now() + 500 + random.below(3000), () => {
      faults[random.below(faults.length)]?.()
      this.scheduleFault()
    })
  }

  private kill (node: Node | undefined): void {
    if (node) {
      node.streams.stop()
      node.records.stop()
      const index = this.nodes.indexOf(node)
      node.streams = this.createStreams(index)
      node.served = ServedVersions.create()
      const records = this.createRecords(index)
      node.records = records
      node.restartsAt = this.clock.now() + 200 + this.random.below(1500)
      this.clock.at(node.restartsAt, () => records.start())
    }
  }

  /** A new version begins to serve, or one of several ends. */
  private scheduleRelease (): void {
    const { clock, random, changes } = this
    clock.at(clock.now() + 2000 + random.below(6000), () => {
      const serving = this.servingAt(clock.now())
      const isServing = serving.length < 2 || (serving.length < 4 && random.next() < 0.5)
      const version = isServing ? `v${changes.length + 1}` : serving[random.below(serving.length)] as string
      changes.push({ at: clock.now(), version, isServing })
      this.nodes.forEach(node => clock.at(clock.now() + DISCOVERY_MS, () => {
        node.streams.handleServersChanged(SERVICE)
        node.records.update(SERVICE)
      }))
      this.scheduleRelease()
    })
  }
}

function drawBetween (random: Random, { least, most }: { readonly least: number, readonly most: number }): number {
  return least + random.below(most - least)
}
