import {
  AdministrativeState, emptyConfiguration, ServerKind,
  type BackendServer, type Configuration, type LoadReport
} from 'foxtaillever-core'
import { FactKind, MemberState, type Fact, type Member } from 'foxtaillever-fleet'
import { describe, it, VirtualClock } from 'foxtaillever-testing'
import { Right } from 'purify-ts'
import { ServerWatch } from '../serverWatch.js'

const report: LoadReport = { incarnation: 'a', weightsVersion: 'v1', running: 8, waiting: 3, waitingTokens: 900, cacheTokensUsed: 5, leaving: false, madeAt: 1000 }

function createServer (name: string): BackendServer {
  return { name, kind: ServerKind.Language, address: name, failureDomain: '', models: ['m'], slots: 8, prefillTokensPerSecond: 1, decodeTokensPerSecond: 1, cacheTokens: 1, checksFencing: true, checksCaller: true, state: AdministrativeState.InService }
}

const servers = Array.from({ length: 20 }, (_, index) => createServer(`worker-${index}`))
const configuration: Configuration = { ...emptyConfiguration, servers: Object.fromEntries(servers.map(server => [server.name, server])) }

function createMembers (count: number): Member[] {
  return Array.from({ length: count }, (_, index) => ({ name: `entry-${index}`, address: '', controlAddress: '', failureDomain: '', incarnation: 1, state: MemberState.Alive, deadline: Infinity }))
}

/** Instances whose facts reach each other at once. */
class WatchingFleet {
  readonly clock = VirtualClock.create()
  /** Times that each engine was asked for its load. */
  readonly asked = new Map<string, number>()
  readonly shared: Fact[] = []
  readonly observed = new Map<string, Set<string>>()
  private readonly listeners: Array<(fact: Fact) => void> = []

  private constructor (public members: Member[]) {
    members.forEach(member => this.createWatch(member.name).start())
  }

  static create (count: number): WatchingFleet {
    return new WatchingFleet(createMembers(count))
  }

  private createWatch (name: string): ServerWatch {
    const observed = new Set<string>()
    this.observed.set(name, observed)
    return ServerWatch.create({
      clock: this.clock,
      name,
      configuration: () => configuration,
      core: { inFlight: () => this.members.some(member => member.name === name) ? 1 : 0, observeLoad: (server, load) => { load.waiting === report.waiting && observed.add(server) } },
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
            this.asked.set(server.name, (this.asked.get(server.name) ?? 0) + 1)
            return Right(report)
          }
        })
      }
    })
  }
}

describe('the load of engines', () => {
  it('is read by each of today\'s instances, and told by none', async t => {
    const fleet = WatchingFleet.create(9)
    await fleet.clock.advanceBy(100)
    t.deepEqual([...fleet.asked.values()], servers.map(() => 9))
    t.is(fleet.shared.length, 0)
  })

  it('is read by one of a larger fleet, which tells the others of a queue once a second', async t => {
    const fleet = WatchingFleet.create(30)
    await fleet.clock.advanceBy(900)
    t.true([...fleet.asked.values()].every(count => count === 2))
    t.deepEqual(fleet.shared.map(({ kind, key }) => `${kind}/${key}`).sort(), servers.map(({ name }) => `${FactKind.ServerLoad}/${name}`).sort())
    fleet.observed.forEach(seen => t.is(seen.size, servers.length))
  })

  it('is read on when a watcher dies', async t => {
    // The only instance that reads an engine is gone. Until another takes its
    // place nobody sees the queue there, and callers are sent into it.
    const fleet = WatchingFleet.create(30)
    await fleet.clock.advanceBy(100)
    const dead = fleet.shared[0]?.source
    fleet.members = fleet.members.filter(member => member.name !== dead)
    fleet.asked.clear()
    await fleet.clock.advanceBy(900)
    t.is(fleet.asked.size, servers.length)
  })
})
