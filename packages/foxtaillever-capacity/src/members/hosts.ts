/**
 * The threads that host members, as the measuring thread drives them.
 */
import { Worker } from 'node:worker_threads'
import { ListedKind, ListedState, type ListedInstance, type LogRecord } from 'foxtaillever-core'
import { OrderKind, type HostSample, type MemberPlan, type MemberSample, type Order, type OrderResult, type ResultMessage, type Started } from './orders.js'

/** Members share threads so that the machine stays usable by others. */
const MOST_THREADS = 4

/** Members of one thread at most before another is used. */
const MEMBERS_PER_THREAD = 25

const FAILURE_DOMAINS = 7

const SEEDS_PER_THREAD = 10_000

class Host {
  readonly members = new Set<string>()
  private readonly waiting = new Map<number, (result: OrderResult) => void>()
  private number = 0

  private constructor (private readonly worker: Worker) {
    worker.on('message', ({ number, result }: ResultMessage) => {
      this.waiting.get(number)?.(result)
      this.waiting.delete(number)
    })
  }

  static create (seed: number): Host {
    return new Host(new Worker(new URL('./hostThread.js', import.meta.url), { workerData: seed }))
  }

  async send (order: Order): Promise<OrderResult> {
    this.number += 1
    const { number } = this
    return await new Promise<OrderResult>(resolve => {
      this.waiting.set(number, resolve)
      this.worker.postMessage({ number, order })
    })
  }

  async end (): Promise<void> {
    await this.send({ kind: OrderKind.Stop })
    await this.worker.terminate()
  }
}

/** Counters of the whole fleet at one instant. */
export interface FleetSample {
  readonly members: readonly MemberSample[]
  readonly heapBytes: number
}

export class Hosts {
  private started: Started[] = []
  private offset = 0

  private constructor (private readonly hosts: readonly Host[]) {}

  /** Starts the threads and so many members in them. */
  static async create (count: number, seed: number): Promise<Hosts> {
    const threads = Math.max(1, Math.min(MOST_THREADS, Math.ceil(count / MEMBERS_PER_THREAD)))
    return new Hosts(Array.from({ length: threads }, (_, index) => Host.create(seed + index * SEEDS_PER_THREAD)))
  }

  async startMembers (count: number): Promise<void> {
    const plans = Array.from({ length: count }, (_, index): MemberPlan => ({ name: `entry-${index}`, failureDomain: `domain-${index % FAILURE_DOMAINS}` }))
    await Promise.all(this.hosts.map(async (host, index) => {
      const own = plans.filter((_, position) => position % this.hosts.length === index)
      own.forEach(plan => host.members.add(plan.name))
      this.note(await host.send({ kind: OrderKind.Start, plans: own }))
    }))
    await this.list()
  }

  members (): readonly Started[] {
    return this.started
  }

  /** Offset that the next record gets. */
  nextOffset (): number {
    return this.offset + 1
  }

  takeOffset (): void {
    this.offset += 1
  }

  async append (record: LogRecord): Promise<void> {
    this.offset = Math.max(this.offset, record.offset)
    await this.all({ kind: OrderKind.Append, record })
  }

  async crash (names: readonly string[]): Promise<void> {
    this.started = this.started.filter(({ name }) => !names.includes(name))
    await this.all({ kind: OrderKind.Crash, names })
    await this.list()
  }

  async restart (names: readonly string[], suffix: string): Promise<void> {
    this.started = this.started.filter(({ name }) => !names.includes(name))
    await Promise.all(this.hosts.map(async host => this.note(await host.send({ kind: OrderKind.Restart, names, suffix }))))
    await this.list()
  }

  /** Cuts the fleet in two; an empty list heals it. */
  async cut (names: readonly string[]): Promise<void> {
    const apart = this.started.filter(({ name }) => names.includes(name))
    const groups = Object.fromEntries(apart.flatMap(({ address, controlAddress }) => [[address, 1], [controlAddress, 1]]))
    await this.all({ kind: OrderKind.Cut, groups })
  }

  async all (order: Order): Promise<readonly OrderResult[]> {
    return await Promise.all(this.hosts.map(async host => await host.send(order)))
  }

  async sample (collect = false): Promise<FleetSample> {
    const results = await this.all({ kind: OrderKind.Sample, collect })
    const samples = results.map(({ sample }) => sample).filter((sample): sample is HostSample => sample !== undefined)
    return {
      members: samples.flatMap(sample => sample.members),
      heapBytes: samples.reduce((sum, sample) => sum + sample.heapBytes, 0)
    }
  }

  async end (): Promise<void> {
    await Promise.all(this.hosts.map(async host => await host.end()))
  }

  private note ({ started = [] }: OrderResult): void {
    this.started.push(...started)
  }

  private async list (): Promise<void> {
    const listed = this.started.map(({ name, address, failureDomain }): ListedInstance => ({ name, address, failureDomain, kind: ListedKind.EntryInstance, state: ListedState.Live }))
    await this.all({ kind: OrderKind.List, listed })
  }
}
