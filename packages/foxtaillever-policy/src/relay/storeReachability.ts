/**
 * Tracks which stores of cached levels answer. A fetch from an unreachable store
 * costs its caller some hundred milliseconds, as much as reading the level twice,
 * and so does every request whose level has its home there. So a few instances
 * check each store and report the result to the others.
 *
 * To an instance that is cut off itself, every store is silent. So a store counts
 * as unreachable only when no recent report says that it answers.
 */

/** Result of one instance's check of a store. */
export interface StoreReport {
  /** Address of the store. */
  readonly store: string
  readonly isSilent: boolean
  /** Changes with each start of the store, which starts empty; 0 if the store has never answered this instance. */
  readonly incarnation: number
}

interface ReceivedReport extends StoreReport {
  readonly at: number
}

/**
 * A report is valid for this long, milliseconds: a checking instance reports to a
 * third of the instances every half second, so within 4 s all but 1 in 20 receive
 * another one.
 */
const REPORT_VALID_MS = 4000

export class StoreReachability {
  /** By store, then by the instance that checked it. */
  private readonly reports = new Map<string, Map<string, ReceivedReport>>()
  /** Known incarnations by store. Reports of two instances may arrive out of order, and a known incarnation is no restart. */
  private readonly incarnations = new Map<string, Set<number>>()

  private constructor () {}

  static create (): StoreReachability {
    return new StoreReachability()
  }

  /** @returns whether a store has restarted since the last report and lost its contents. */
  recordReports (instance: string, newReports: readonly StoreReport[], now: number): boolean {
    let hasRestarted = false
    for (const report of newReports) {
      this.reportsOf(report.store).set(instance, { ...report, at: now })
      hasRestarted = this.isRestart(report) || hasRestarted
    }
    return hasRestarted
  }

  isReachable (store: string, now: number): boolean {
    const reports = [...this.reports.get(store)?.values() ?? []].filter(({ at }) => at + REPORT_VALID_MS > now)
    return reports.length === 0 || reports.some(({ isSilent }) => !isSilent)
  }

  private reportsOf (store: string): Map<string, ReceivedReport> {
    const reports = this.reports.get(store) ?? new Map<string, ReceivedReport>()
    this.reports.set(store, reports)
    return reports
  }

  private isRestart ({ store, incarnation }: StoreReport): boolean {
    const knownIncarnations = this.incarnations.get(store) ?? new Set<number>()
    this.incarnations.set(store, knownIncarnations)
    const isNew = incarnation !== 0 && !knownIncarnations.has(incarnation)
    const isRestart = isNew && knownIncarnations.size > 0
    if (isNew) {
      knownIncarnations.add(incarnation)
    }
    return isRestart
  }
}
