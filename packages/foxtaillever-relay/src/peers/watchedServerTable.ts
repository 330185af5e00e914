/** What other instances reported about the servers that this instance watches: load, failed connections, requests to back off, and saved prompt levels. */
import { SavedLevels } from 'foxtaillever-policy/relay/savedLevels'
import { noLoad, type ServerLoad } from 'foxtaillever-policy/relay/serverLoad'
import type { ServerLoadEntry } from './peerMessage.js'

interface ReportedLoad extends ServerLoad {
  /** Milliseconds of Unix time. */
  readonly at: number
}

/** Reports are repeated every second. After two missing ones the reporter is gone or reports to another watcher, milliseconds. */
const LOAD_VALID_MS = 2500

/** A server that accepted no connection is tried again after this many milliseconds: processes restart within some seconds. */
const UNREACHABLE_MS = 1000

/** A server that asks one instance to back off would ask the next one too; after this many milliseconds it may have recovered. */
const BACKOFF_MS = 500

/** A single instance that cannot reach a server may be cut off itself. */
const MIN_REPORTERS = 2

export class WatchedServerTable {
  /** By the server's hash, then by the reporter's address. */
  private readonly loads = new Map<number, Map<string, ReportedLoad>>()
  /** Levels that were saved to their store and whose home is a watched server. */
  readonly saved = SavedLevels.create()
  /** When a server could not be reached, milliseconds of Unix time; by its hash, then by the reporter's address. */
  private readonly unreachableReports = new Map<number, Map<string, number>>()

  /** Until when servers that asked to back off are skipped, milliseconds of Unix time; by the server's hash. */
  private readonly backingOffUntil = new Map<number, number>()

  private constructor () {}

  static create (): WatchedServerTable {
    return new WatchedServerTable()
  }

  recordLoads (reporter: string, loads: readonly ServerLoadEntry[], now: number): void {
    for (const { server, ...load } of loads) {
      const reports = this.loads.get(server) ?? new Map<string, ReportedLoad>()
      this.loads.set(server, reports)
      if (load.outstanding > 0) {
        reports.set(reporter, { ...load, at: now })
      } else {
        reports.delete(reporter)
      }
    }
  }

  /** Requests at the server that the instance reported last. */
  outstandingOf (server: number, reporter: string): number {
    return this.loads.get(server)?.get(reporter)?.outstanding ?? 0
  }

  recordUnreachable (reporter: string, servers: readonly number[], now: number): void {
    if (servers.length > 0) {
      this.removeExpiredReports(now)
    }
    for (const server of servers) {
      const reporters = this.unreachableReports.get(server) ?? new Map<string, number>()
      this.unreachableReports.set(server, reporters.set(reporter, now))
    }
  }

  /** Whether several instances recently could not reach the server. */
  isUnreachable (server: number, now: number): boolean {
    const times = [...this.unreachableReports.get(server)?.values() ?? []]
    return times.filter(at => at + UNREACHABLE_MS > now).length >= MIN_REPORTERS
  }

  recordBackingOff (servers: readonly number[], now: number): void {
    this.backingOffUntil.forEach((until, server) => {
      if (until <= now) {
        this.backingOffUntil.delete(server)
      }
    })
    servers.forEach(server => this.backingOffUntil.set(server, now + BACKOFF_MS))
  }

  /** Whether the server recently asked any instance to back off. */
  isBackingOff (server: number, now: number): boolean {
    return (this.backingOffUntil.get(server) ?? 0) > now
  }

  /** Removes expired reports: servers that are gone are never queried again, and their reports must not accumulate. */
  private removeExpiredReports (now: number): void {
    for (const [server, reporters] of this.unreachableReports) {
      reporters.forEach((at, reporter) => {
        if (at + UNREACHABLE_MS <= now) {
          reporters.delete(reporter)
        }
      })
      if (reporters.size === 0) {
        this.unreachableReports.delete(server)
      }
    }
  }

  /** @param except address of the requester, which knows its own load better. */
  sumOf (server: number, except: string, now: number): ServerLoad {
    let { outstanding, tokens, heldTokens } = noLoad
    const reports = this.loads.get(server) ?? new Map<string, ReportedLoad>()
    for (const [reporter, load] of reports) {
      if (load.at + LOAD_VALID_MS <= now) {
        reports.delete(reporter)
      } else if (reporter !== except) {
        outstanding += load.outstanding
        tokens += load.tokens
        heldTokens += load.heldTokens
      }
    }
    return { outstanding, tokens, heldTokens }
  }
}
