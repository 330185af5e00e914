/**
 * Weighted fair queue of the jobs of one priority class, by client account:
 * start-time fair queueing. The turn of a job is its virtual start time: the
 * virtual time at which the account's earlier jobs have been served, where each
 * unit of cost counts 1 / weight. An account that floods the class delays only
 * its own jobs.
 */
import { Heap } from '../collections/heap.js'
import type { WaitingJob } from './waitingJob.js'

/** The part of a job that its turn depends on. */
export interface FairJob extends Pick<WaitingJob, 'cost' | 'weight' | 'attempts' | 'gone' | 'turn' | 'sequence'> {
  readonly job: { readonly account: string }
  /** Cost by which its turn is earlier than that of a new job of the account; it is charged in full. */
  readonly headStart?: number
}

interface AccountQueue<Job extends FairJob> {
  /** Turn of the account's next job. */
  nextTurn: number
  waiting: number
  work: number
  weight: number
  /** In order of arrival; jobs that are gone are removed now and then. */
  jobs: Job[]
}

function loadOf (account: AccountQueue<FairJob>): number {
  return account.work / account.weight
}

/** Entries of jobs that are gone which a heap may hold before it is cleaned. */
const MAX_GONE_ENTRIES = 64

/** Entries of accounts without waiting jobs that are kept before those whose charge is worked off are removed. */
const MAX_IDLE_ACCOUNTS = 64

export class ClassQueue<Job extends FairJob = WaitingJob> {
  private readonly jobsByTurn = Heap.create<Job>((a, b) => a.turn < b.turn || (a.turn === b.turn && a.sequence < b.sequence))
  private readonly accounts = new Map<string, AccountQueue<Job>>()
  private virtualTime = 0
  private sequence = 0
  /** Number of accounts at which idle ones are removed; doubles the remaining ones, so that each removal is paid for by as many additions. */
  private accountsToPrune = MAX_IDLE_ACCOUNTS
  /** Waiting jobs. */
  size = 0
  /** Cost of the waiting jobs, milliseconds of a server's slot. */
  work = 0
  /** Sum of the weights of accounts with waiting jobs. */
  activeWeight = 0

  private constructor () {}

  static create<Job extends FairJob = WaitingJob> (): ClassQueue<Job> {
    return new ClassQueue<Job>()
  }

  add (entry: Job): void {
    const account = this.accountOf(entry)
    const isRetry = entry.attempts > 0
    const turn = Math.max(this.virtualTime, account.nextTurn)
    entry.turn = isRetry ? this.virtualTime : turn - (entry.headStart ?? 0) / entry.weight
    entry.sequence = this.sequence++
    if (!isRetry) {
      account.nextTurn = turn + entry.cost / entry.weight
    }
    this.activeWeight += account.waiting === 0 ? entry.weight : 0
    this.updateCounts(account, entry, 1)
    account.jobs.push(entry)
    if (account.jobs.length > 2 * account.waiting + MAX_GONE_ENTRIES) {
      account.jobs = account.jobs.filter(({ gone }) => !gone)
    }
    this.jobsByTurn.push(entry)
  }

  /** Removes a job that was not sent, without charging its account. */
  remove (entry: Job): void {
    const account = this.removeFromAccount(entry)
    if (entry.attempts === 0) {
      account.nextTurn -= entry.cost / entry.weight
    }
    this.pruneAccount(entry.job.account, account)
  }

  /** Records that the job was sent. */
  recordSent (entry: Job): void {
    this.virtualTime = Math.max(this.virtualTime, entry.turn)
    this.pruneAccount(entry.job.account, this.removeFromAccount(entry))
  }

  /** Removes the next job in fair order from the heap; `putBack` returns it. */
  takeNext (): Job | undefined {
    this.dropGoneJobs()
    return this.jobsByTurn.pop()
  }

  hasNext (): boolean {
    this.dropGoneJobs()
    return this.jobsByTurn.size > 0
  }

  putBack (entry: Job): void {
    this.jobsByTurn.push(entry)
  }

  /** Turn of the next job that the account adds. */
  nextTurnOf (account: string): number {
    return Math.max(this.virtualTime, this.accounts.get(account)?.nextTurn ?? 0)
  }

  workOf (account: string): number {
    return this.accounts.get(account)?.work ?? 0
  }

  waitingOf (account: string): number {
    return this.accounts.get(account)?.waiting ?? 0
  }

  /** Corrects the charge of the account once the actual cost is known. */
  correctCharge (account: string, difference: number, weight: number): void {
    const queue = this.accounts.get(account)
    if (queue) {
      queue.nextTurn += difference / weight
    }
  }

  /** The latest job of the account with the most waiting work for its weight. */
  lastJobOfHeaviestAccount (): Job | undefined {
    let heaviest: AccountQueue<Job> | undefined
    for (const account of this.accounts.values()) {
      if (account.waiting > 0 && loadOf(account) > (heaviest ? loadOf(heaviest) : 0)) {
        heaviest = account
      }
    }
    return heaviest?.jobs.findLast(entry => !entry.gone)
  }

  private removeFromAccount (entry: Job): AccountQueue<Job> {
    const account = this.accountOf(entry)
    entry.gone = true
    this.updateCounts(account, entry, -1)
    this.activeWeight -= account.waiting === 0 ? entry.weight : 0
    return account
  }

  private updateCounts (account: AccountQueue<Job>, entry: Job, sign: 1 | -1): void {
    account.waiting += sign
    account.work += sign * entry.cost
    this.size += sign
    this.work += sign * entry.cost
  }

  private accountOf ({ job, weight }: Job): AccountQueue<Job> {
    const known = this.accounts.get(job.account)
    if (known) {
      return known
    }
    this.pruneIdleAccounts()
    const account: AccountQueue<Job> = { nextTurn: this.virtualTime, waiting: 0, work: 0, weight, jobs: [] }
    this.accounts.set(job.account, account)
    return account
  }

  /** Removes the entry of an account without waiting jobs whose charge has been worked off. */
  private pruneAccount (name: string, account: AccountQueue<Job>): void {
    if (account.waiting === 0 && account.nextTurn <= this.virtualTime) {
      this.accounts.delete(name)
    }
  }

  /** The charge of an account's last job is worked off only after the account was last touched. */
  private pruneIdleAccounts (): void {
    if (this.accounts.size < this.accountsToPrune) {
      return
    }
    if (this.size === 0) {
      // Without waiting jobs the virtual time does not advance, and no charge would ever be worked off.
      this.virtualTime = Math.max(this.virtualTime, ...[...this.accounts.values()].map(({ nextTurn }) => nextTurn))
    }
    for (const [name, account] of this.accounts) {
      this.pruneAccount(name, account)
    }
    this.accountsToPrune = 2 * this.accounts.size + MAX_IDLE_ACCOUNTS
  }

  private dropGoneJobs (): void {
    while (this.jobsByTurn.peek()?.gone) {
      this.jobsByTurn.pop()
    }
    if (this.jobsByTurn.size > 2 * this.size + MAX_GONE_ENTRIES) {
      this.jobsByTurn.filter(entry => !entry.gone)
    }
  }
}
