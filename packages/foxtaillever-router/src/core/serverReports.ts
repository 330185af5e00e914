/**
 * What backend servers report of themselves: their incarnation and whether they
 * are leaving. The platform's list is seconds old, so a server that refuses new
 * work would get more of it until the list is updated. The server's own report
 * counts at once and overrides the list until the server restarts.
 */
import { ListedState, type LoadReport } from 'foxtaillever-core'

/**
 * When the incarnation that refused is unknown, reports that are not "leaving"
 * count again after this time, milliseconds. It is longer than reports are late.
 */
const UNKNOWN_LEAVING_MS = 10_000

interface ServerStatus {
  incarnation: string
  /** Whether the server reported that it is leaving. */
  hasReportedLeaving: boolean
  /** Whether the server is taken to be leaving; false when its own report does not count. */
  isLeaving: boolean
  /** Incarnation that reported that it is leaving; empty when unknown. */
  leavingIncarnation: string
  /** Milliseconds of Unix time. */
  leavingUntil: number
  listed: ListedState
  /** The server's clock at its newest report. */
  reportMadeAt: number
}

export class ServerReports {
  private readonly statuses = new Map<string, ServerStatus>()

  private constructor (private readonly trustsOwnReport: boolean) {}

  static create (trustsOwnReport: boolean): ServerReports {
    return new ServerReports(trustsOwnReport)
  }

  /** Empty when nothing is known. */
  incarnationOf (server: string): string {
    return this.statuses.get(server)?.incarnation ?? ''
  }

  stateOf (server: string): ListedState {
    const status = this.statuses.get(server)
    return status?.isLeaving === true || status?.listed === ListedState.Leaving ? ListedState.Leaving : ListedState.Live
  }

  /** Whether the server itself reported that it is leaving, even if the safeguard is off. */
  hasReportedLeaving (server: string): boolean {
    return this.statuses.get(server)?.hasReportedLeaving === true
  }

  recordListedState (server: string, listed: ListedState): void {
    this.statusOf(server).listed = listed
  }

  /** Reports may arrive out of order; an older one is ignored. */
  recordLoadReport (server: string, report: LoadReport, now: number): void {
    const status = this.statusOf(server)
    if (report.madeAt < status.reportMadeAt) {
      return
    }
    status.reportMadeAt = report.madeAt
    this.recordIncarnation(server, report.incarnation, now)
    if (report.leaving) {
      this.recordLeaving(server, now)
    }
  }

  recordIncarnation (server: string, incarnation: string, now: number): void {
    const status = this.statusOf(server)
    status.incarnation = incarnation
    const isAnother = status.leavingIncarnation !== '' && status.leavingIncarnation !== incarnation
    const isUnknown = status.leavingIncarnation === '' && now >= status.leavingUntil
    if (status.hasReportedLeaving && (isAnother || isUnknown)) {
      status.hasReportedLeaving = false
      status.isLeaving = false
    }
  }

  /** The server itself reported that it takes no new work. */
  recordLeaving (server: string, now: number): void {
    const status = this.statusOf(server)
    status.hasReportedLeaving = true
    status.isLeaving = this.trustsOwnReport
    status.leavingIncarnation = status.incarnation
    status.leavingUntil = now + UNKNOWN_LEAVING_MS
  }

  /** The server refused the expected incarnation, so the known one is out of date. */
  forgetIncarnation (server: string): void {
    this.statusOf(server).incarnation = ''
  }

  private statusOf (server: string): ServerStatus {
    const known = this.statuses.get(server)
    if (known) {
      return known
    }
    const status: ServerStatus = {
      incarnation: '', hasReportedLeaving: false, isLeaving: false, leavingIncarnation: '', leavingUntil: 0, listed: ListedState.Live, reportMadeAt: 0
    }
    this.statuses.set(server, status)
    return status
  }
}
