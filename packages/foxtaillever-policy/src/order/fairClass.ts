/**
 * Weighted fair order of the jobs of one priority class over client accounts:
 * start-time fair queueing. A job's turn is the virtual time at which its
 * account has been served what went before, each unit of cost counting
 * 1 / weight. An account that floods the class only moves its own turns back.
 */
import { Heap } from '../collections/heap.js'
import type { WaitingJob } from './waitingJob.js'

interface AccountTurns {
  /** Turn of the account's next job. */
  next: number
  waiting: number
  work: number
  weight: number
  /** In order of arrival; those gone are dropped now and then. */
  jobs: WaitingJob[]
}

function loadOf (account: AccountTurns): number {
  return account.work / account.weight
}

/** Dead entries that a heap may carry beyond the living. */
const DEAD_ALLOWED = 64

export class FairClass {
  private readonly heap = Heap.create<WaitingJob>((one, other) => one.turn < other.turn || (one.turn === other.turn && one.sequence < other.sequence))
  private readonly accounts = new Map<string, AccountTurns>()
  private virtualTime = 0
  private sequence = 0
  /** Waiting jobs. */
  size = 0
  /** Their cost, milliseconds of a server's slot. */
  work = 0
  /** Weights of the accounts that wait. */
  activeWeight = 0

  private constructor () {}

  static create (): FairClass {
    return new FairClass()
  }

  add (entry: WaitingJob): void {
    const account = this.accountOf(entry)
    const isRetry = entry.attempts > 0
    entry.turn = isRetry ? this.virtualTime : Math.max(this.virtualTime, account.next)
    entry.sequence = this.sequence++
    if (!isRetry) {
      account.next = entry.turn + entry.cost / entry.weight
    }
    this.activeWeight += account.waiting === 0 ? entry.weight : 0
    this.count(account, entry, 1)
    account.jobs.push(entry)
    if (account.jobs.length > 2 * account.waiting + DEAD_ALLOWED) {
      account.jobs = account.jobs.filter(({ gone }) => !gone)
    }
    this.heap.push(entry)
  }

  /** Takes the job out without charging its account; it was not served. */
  remove (entry: WaitingJob): void {
    const account = this.leave(entry)
    if (entry.attempts === 0) {
      account.next -= entry.cost / entry.weight
    }
    this.prune(entry.job.account, account)
  }

  /** The job was sent. */
  serve (entry: WaitingJob): void {
    this.virtualTime = Math.max(this.virtualTime, entry.turn)
    this.prune(entry.job.account, this.leave(entry))
  }

  /** Next job in fair order; out of the heap until `putBack`. */
  next (): WaitingJob | undefined {
    this.dropDead()
    return this.heap.pop()
  }

  hasNext (): boolean {
    this.dropDead()
    return this.heap.size > 0
  }

  putBack (entry: WaitingJob): void {
    this.heap.push(entry)
  }

  workOf (account: string): number {
    return this.accounts.get(account)?.work ?? 0
  }

  waitingOf (account: string): number {
    return this.accounts.get(account)?.waiting ?? 0
  }

  /** Corrects what the account was charged once the true cost is known. */
  correct (account: string, difference: number, weight: number): void {
    const turns = this.accounts.get(account)
    if (turns) {
      turns.next += difference / weight
    }
  }

  /** The latest job of the account whose waiting work is most above its weight. */
  lastOfHeaviest (): WaitingJob | undefined {
    let heaviest: AccountTurns | undefined
    for (const account of this.accounts.values()) {
      if (account.waiting > 0 && loadOf(account) > (heaviest ? loadOf(heaviest) : 0)) {
        heaviest = account
      }
    }
    return heaviest?.jobs.findLast(entry => !entry.gone)
  }

  private leave (entry: WaitingJob): AccountTurns {
    const account = this.accountOf(entry)
    entry.gone = true
    this.count(account, entry, -1)
    this.activeWeight -= account.waiting === 0 ? entry.weight : 0
    return account
  }

  private count (account: AccountTurns, entry: WaitingJob, sign: 1 | -1): void {
    account.waiting += sign
    account.work += sign * entry.cost
    this.size += sign
    this.work += sign * entry.cost
  }

  private accountOf ({ job, weight }: WaitingJob): AccountTurns {
    const known = this.accounts.get(job.account)
    if (known) {
      return known
    }
    const account = { next: this.virtualTime, waiting: 0, work: 0, weight, jobs: [] }
    this.accounts.set(job.account, account)
    return account
  }

  /** An account that waits for nothing and owes nothing needs no entry. */
  private prune (name: string, account: AccountTurns): void {
    if (account.waiting === 0 && account.next <= this.virtualTime) {
      this.accounts.delete(name)
    }
  }

  private dropDead (): void {
    while (this.heap.peek()?.gone) {
      this.heap.pop()
    }
    if (this.heap.size > 2 * this.size + DEAD_ALLOWED) {
      this.heap.keep(entry => !entry.gone)
    }
  }
}
