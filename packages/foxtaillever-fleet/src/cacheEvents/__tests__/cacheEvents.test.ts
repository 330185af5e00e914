import fc from 'fast-check'
import { AdministrativeState, ServerKind, type BackendServer } from 'foxtaillever-core'
import { describe, it, VirtualClock } from 'foxtaillever-testing'
import { CacheEventKind, type CacheEvent, type CacheEventListener } from '../cacheEvent.js'
import { CacheEventSystem, watcherOf, type CacheSummary } from '../cacheEventSystem.js'
import { CachedPrefixTable } from '../cachedPrefixTable.js'

function createServer (index: number): BackendServer {
  return {
    name: `worker-${index}`,
    kind: ServerKind.Language,
    address: `10.0.1.${index}:8000`,
    failureDomain: 'zg-dubrava',
    models: ['m'],
    slots: 8,
    prefillTokensPerSecond: 1000,
    decodeTokensPerSecond: 1000,
    cacheTokens: 1000,
    checksFencing: true,
    checksCaller: true,
    state: AdministrativeState.InService
  }
}

function stored (sequence: number, prefix: string, incarnation = 'a'): CacheEvent {
  return { incarnation, sequence, kind: CacheEventKind.Stored, account: 'firm', prefix, tokens: 100 }
}

function prefixesOf (table: CachedPrefixTable): readonly string[] {
  return table.hottest(100).map(({ prefix }) => prefix).sort()
}

describe('cache events', () => {
  describe('CachedPrefixTable', () => {
    it('applies stores and evictions, and ignores repeated events', t => {
      const table = CachedPrefixTable.create()
      table.applyEvent(stored(1, 'x'), 0)
      table.applyEvent(stored(2, 'y'), 0)
      table.applyEvent({ ...stored(3, 'x'), kind: CacheEventKind.Evicted }, 0)
      t.false(table.applyEvent(stored(1, 'x'), 0))
      t.deepEqual(prefixesOf(table), ['y'])
      t.false(table.isDoubtful(0))
    })

    it('is doubtful after a gap, and then keeps only what was stored later', t => {
      // The stream lost an eviction. If the old prefixes counted as cached, requests
      // would go to a server that has to compute their prefix again.
      const table = CachedPrefixTable.create()
      table.applyEvent(stored(1, 'old'), 0)
      t.true(table.applyEvent(stored(3, 'new'), 1000))
      t.true(table.isDoubtful(1000))
      table.expire(6000)
      t.false(table.isDoubtful(6000))
      t.deepEqual(prefixesOf(table), ['new'])
    })

    it('is cleared when the engine restarts', t => {
      const table = CachedPrefixTable.create()
      table.applyEvent(stored(8, 'old'), 0)
      table.applyEvent(stored(1, 'new', 'b'), 0)
      t.deepEqual(prefixesOf(table), ['new'])
    })

    it('never reports a prefix as certain that a lost event may have evicted', t => {
      const events = fc.array(fc.record({ prefix: fc.constantFrom('p', 'q', 'r'), evict: fc.boolean(), lost: fc.boolean() }), { maxLength: 40 })
      fc.assert(fc.property(events, steps => {
        const table = CachedPrefixTable.create()
        const truth = new Set<string>()
        let now = 0
        steps.forEach(({ prefix, evict, lost }, index) => {
          now += 2000
          const kind = evict ? CacheEventKind.Evicted : CacheEventKind.Stored
          evict ? truth.delete(prefix) : truth.add(prefix)
          if (!lost) {
            table.applyEvent({ ...stored(index + 1, prefix), kind }, now)
          }
          table.expire(now)
          if (!lost && !table.isDoubtful(now)) {
            prefixesOf(table).forEach(known => t.true(truth.has(known)))
          }
        })
      }), { seed: 21, numRuns: 300 })
    })
  })

  describe('watchers', () => {
    function createFleet () {
      const clock = VirtualClock.create()
      const servers = Array.from({ length: 12 }, (_, index) => createServer(index))
      const streams = new Map<string, CacheEventListener>()
      const shared: [string, CacheSummary][] = []
      let members = ['one', 'two', 'three'].map(name => ({ name }))
      const systems = members.map(({ name }) => CacheEventSystem.create({
        name,
        members: () => members,
        servers: () => servers,
        clock,
        announceFact: (_, key, value) => { shared.push([key, value as CacheSummary]) },
        events: {
          watch: (server, listener) => {
            streams.set(`${name}/${server.name}`, listener)
            return () => { streams.delete(`${name}/${server.name}`) }
          }
        }
      }))
      const remove = (name: string): void => { members = members.filter(member => member.name !== name) }
      return { clock, servers, streams, shared, systems, remove, members: () => members }
    }

    it('are unique per server', t => {
      const { systems, streams, servers } = createFleet()
      systems.forEach(system => system.tick())
      t.is(streams.size, servers.length)
    })

    it('hand their servers over when they die, and no other server moves', t => {
      // The instance that read a server's events died. Without a successor, the other
      // instances would use its last summaries until they expire, and then have none.
      const { systems, streams, servers, remove, members } = createFleet()
      systems.forEach(system => system.tick())
      const before = new Map(servers.map(({ name }) => [name, watcherOf(name, members())]))
      remove('two')
      ;[systems[0]!, systems[2]!].forEach(system => system.tick())
      for (const { name } of servers) {
        const now = watcherOf(name, members())
        t.true(streams.has(`${now}/${name}`))
        t.true(before.get(name) === 'two' ? now !== 'two' : now === before.get(name))
      }
    })

    it('announce a short summary and whether it is doubtful', async t => {
      const { clock, systems, streams, shared } = createFleet()
      const system = systems[0]!
      system.tick()
      const server = system.watchedServers()[0]!
      const stream = streams.get(`one/${server}`)!
      for (let index = 1; index <= 50; index += 1) {
        stream.handleEvent(stored(index, `p${index % 20}`))
      }
      system.tick()
      t.is(shared.at(-1)![0], server)
      t.is(shared.at(-1)![1].prefixes.length, 8)
      t.false(shared.at(-1)![1].doubtful)
      stream.handleEvent(stored(60, 'late'))
      await clock.advanceBy(5000 - 1)
      system.tick()
      t.is(shared.length, 1)
      stream.handleEvent(stored(70, 'later'))
      await clock.advanceBy(1)
      system.tick()
      t.true(shared.at(-1)![1].doubtful)
    })

    it('start again with an empty table when a stream ends', t => {
      const { systems, streams } = createFleet()
      const system = systems[0]!
      system.tick()
      const server = system.watchedServers()[0]!
      const stream = streams.get(`one/${server}`)!
      stream.handleEvent(stored(1, 'x'))
      stream.handleEnd()
      system.tick()
      t.is(system.prefixTableOf(server)?.size(), 0)
      t.not(streams.get(`one/${server}`), stream)
    })
  })
})
