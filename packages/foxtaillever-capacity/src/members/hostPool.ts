/** Starts the threads that host members and sends them commands from the measuring thread. */
import { Worker } from 'node:worker_threads'
import { ListedKind, ListedState, type ListedInstance, type LogRecord } from 'foxtaillever-core'
import { HostCommandKind, type HostSample, type MemberPlan, type MemberSample, type HostCommand, type HostResult, type ResultMessage, type StartedMember } from './hostCommands.js'

/** Threads that all members share, limited so that the machine stays usable for other work. */
const MAX_THREADS = 4

/** Members for which one thread is used before another is started. */
const MAX_MEMBERS_PER_THREAD = 25

const FAILURE_DOMAINS = 7

const SEEDS_PER_THREAD = 10_000

class HostClient {
  readonly members = new Set<string>()
  private readonly pending = new Map<number, (result: HostResult) => void>()
  private number = 0

  private constructor (private readonly worker: Worker) {
    worker.on('message', ({ number, result }: ResultMessage) => {
      this.pending.get(number)?.(result)
      this.pending.delete(number)
    })
  }

  static create (seed: number): HostClient {
    return new HostClient(new Worker(new URL('./hostThread.js', import.meta.url), { workerData: seed }))
  }

  async send (command: HostCommand): Promise<HostResult> {
    this.number += 1
    const { number } = this
    return await new Promise<HostResult>(resolve => {
      this.pending.set(number, resolve)
      this.worker.postMessage({ number, command })
    })
  }

  async end (): Promise<void> {
    await this.send({ kind: HostCommandKind.Stop })
    await this.worker.terminate()
  }
}

/** Counters of the whole fleet at one instant. */
export interface FleetSample {
  readonly members: readonly MemberSample[]
  readonly heapBytes: number
}

export class HostPool {
  private started: StartedMember[] = []
  private offset = 0

  private constructor (private readonly hosts: readonly HostClient[]) {}

  /** Starts as many threads as `count` members need. */
  static async create (count: number, seed: number): Promise<HostPool> {
    const threads = Math.max(1, Math.min(MAX_THREADS, Math.ceil(count / MAX_MEMBERS_PER_THREAD)))
    return new HostPool(Array.from({ length: threads }, (_, index) => HostClient.create(seed + index * SEEDS_PER_THREAD)))
  }

  async startMembers (count: number): Promise<void> {
    const plans = Array.from({ length: count }, (_, index): MemberPlan => ({ name: `entry-${index}`, failureDomain: `domain-${index % FAILURE_DOMAINS}` }))
    await Promise.all(this.hosts.map(async (host, index) => {
      const own = plans.filter((_, position) => position % this.hosts.length === index)
      own.forEach(plan => host.members.add(plan.name))
      this.addStarted(await host.send({ kind: HostCommandKind.Start, plans: own }))
    }))
    await this.publishInstanceList()
  }

  members (): readonly StartedMember[] {
    return this.started
  }

  /** Returns the offset of the next record. */
  nextOffset (): number {
    return this.offset + 1
  }

  advanceOffset (): void {
    this.offset += 1
  }

  async append (record: LogRecord): Promise<void> {
    this.offset = Math.max(this.offset, record.offset)
    await this.sendToAll({ kind: HostCommandKind.Append, record })
  }

  async crash (names: readonly string[]): Promise<void> {
    this.started = this.started.filter(({ name }) => !names.includes(name))
    await this.sendToAll({ kind: HostCommandKind.Crash, names })
    await this.publishInstanceList()
  }

  async restart (names: readonly string[], suffix: string): Promise<void> {
    this.started = this.started.filter(({ name }) => !names.includes(name))
    await Promise.all(this.hosts.map(async host => this.addStarted(await host.send({ kind: HostCommandKind.Restart, names, suffix }))))
    await this.publishInstanceList()
  }

  /** Partitions the named members from the others; an empty list heals the partition. */
  async partition (names: readonly string[]): Promise<void> {
    const separated = this.started.filter(({ name }) => names.includes(name))
    const groups = Object.fromEntries(separated.flatMap(({ address, controlAddress }) => [[address, 1], [controlAddress, 1]]))
    await this.sendToAll({ kind: HostCommandKind.Cut, groups })
  }

  async sendToAll (command: HostCommand): Promise<readonly HostResult[]> {
    return await Promise.all(this.hosts.map(async host => await host.send(command)))
  }

  async sample (collect = false): Promise<FleetSample> {
    const results = await this.sendToAll({ kind: HostCommandKind.Sample, collect })
    const samples = results.map(({ sample }) => sample).filter((sample): sample is HostSample => sample !== undefined)
    return {
      members: samples.flatMap(sample => sample.members),
      heapBytes: samples.reduce((sum, sample) => sum + sample.heapBytes, 0)
    }
  }

  async end (): Promise<void> {
    await Promise.all(this.hosts.map(async host => await host.end()))
  }

  private addStarted ({ started = [] }: HostResult): void {
    this.started.push(...started)
  }

  private async publishInstanceList (): Promise<void> {
    const listed = this.started.map(({ name, address, failureDomain }): ListedInstance => ({ name, address, failureDomain, kind: ListedKind.EntryInstance, state: ListedState.Live }))
    await this.sendToAll({ kind: HostCommandKind.List, listed })
  }
}
