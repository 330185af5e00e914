import {
  AdministrativeState, emptyConfiguration, ServerKind,
  type BackendServer, type Configuration, type LoadReport
} from 'foxtaillever-core'
import { FactKind, MemberState, type Fact, type Member } from 'foxtaillever-fleet'
import { describe, it, VirtualClock } from 'foxtaillever-testing'
import { Right } from 'purify-ts'
import { ServerLoadMonitor } from '../serverLoadMonitor.js'

const report: LoadReport = { incarnation: 'a', weightsVersion: 'v1', running: 8, waiting: 3, waitingTokens: 900, cacheTokensUsed: 5, leaving: false, madeAt: 1000 }

function createServer (name: string): BackendServer {
  return { name, kind: ServerKind.Language, address: name, failureDomain: '', models: ['m'], slots: 8, prefillTokensPerSecond: 1, decodeTokensPerSecond: 1, cacheTokens: 1, checksFencing: true, checksCaller: true, state: AdministrativeState.InService }
}

const servers = Array.from({ length: 20 }, (_, index) => createServer(`worker-${index}`))
const configuration: Configuration = { ...emptyConfiguration, servers: Object.fromEntries(servers.map(server => [server.name, server])) }

function createMembers (count: number): Member[] {
  return Array.from({ length: count }, (_, index) => ({ name: `entry-${index}`, address: '', controlAddress: '', failureDomain: '', incarnation: 1, state: MemberState.Alive, deadline: Infinity }))
}

/** Instances whose facts reach each other immediately. */
class MonitoredFleet {
  readonly clock = VirtualClock.create()
  /** Number of load queries to each engine. */
  readonly queryCounts = new Map<string, number>()
  readonly shared: Fact[] = []
  readonly observed = new Map<string, Set<string>>()
  private readonly listeners: Array<(fact: Fact) => void> = []

  private constructor (public members: Member[]) {
    members.forEach(member => this.createMonitor(member.name).start())
  }

  static create (count: number): MonitoredFleet {
    return new MonitoredFleet(createMembers(count))
  }

  private createMonitor (name: string): ServerLoadMonitor {
    const observed = new Set<string>()
    this.observed.set(name, observed)
    return ServerLoadMonitor.create({
      clock: this.clock,
      name,
      configuration: () => configuration,
      onError: () => {},
      core: { inFlight: () => this.members.some(member => member.name === name) ? 1 : 0, applyLoadReport: (server, load) => { load.waiting === report.waiting && observed.add(server) } },
      fleet: {
        members: () => this.members,
        onFact: listener => {
          this.listeners.push(listener)
          return () => {}
        },
        announceFact: (kind, key, value, deadline) => {
          const fact = { source: name, kind, key, version: 1, deadline, value }
          this.shared.push(fact)
          this.listeners.forEach(listener => listener(fact))
          return true
        }
      },
      engines: {
        of: server => ({
          load: async () => {
            this.queryCounts.set(server.name, (this.queryCounts.get(server.name) ?? 0) + 1)
            return Right(report)
          }
        })
      }
    })
  }
}

describe('the load of engines', () => {
  it('is read by every instance of today\'s fleet and announced by none', async t => {
    const fleet = MonitoredFleet.create(9)
    await fleet.clock.advanceBy(100)
    t.deepEqual([...fleet.queryCounts.values()], servers.map(() => 9))
    t.is(fleet.shared.length, 0)
  })

  it('is read by one instance of a larger fleet, which announces a queue once a second', async t => {
    const fleet = MonitoredFleet.create(30)
    await fleet.clock.advanceBy(900)
    t.true([...fleet.queryCounts.values()].every(count => count === 2))
    t.deepEqual(fleet.shared.map(({ kind, key }) => `${kind}/${key}`).sort(), servers.map(({ name }) => `${FactKind.ServerLoad}/${name}`).sort())
    fleet.observed.forEach(seen => t.is(seen.size, servers.length))
  })

  it('is read by another instance when the one that reads it dies', async t => {
    // The only instance that reads an engine dies. Until another one takes over, no
    // instance sees the engine's queue, and requests are sent into it.
    const fleet = MonitoredFleet.create(30)
    await fleet.clock.advanceBy(100)
    const dead = fleet.shared[0]?.source
    fleet.members = fleet.members.filter(member => member.name !== dead)
    fleet.queryCounts.clear()
    await fleet.clock.advanceBy(900)
    t.is(fleet.queryCounts.size, servers.length)
  })
})
