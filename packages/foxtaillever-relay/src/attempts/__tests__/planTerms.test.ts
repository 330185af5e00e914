import { hashNumber } from 'foxtaillever-core'
import { SavedLevels } from 'foxtaillever-policy/relay/savedLevels'
import { describe, it } from 'foxtaillever-testing'
import { createExchange } from '../../__fixtures__/createExchange.js'
import { CacheIsolation } from '../../cache/cacheIsolation.js'
import { FetchLoad } from '../../cache/fetchLoad.js'
import { ServerState, type ListedServer } from '../../model/listedServer.js'
import type { CacheStore, Routing } from '../../model/routing.js'
import type { SendTerms } from '../../model/wire.js'
import { planTerms } from '../planTerms.js'

const TOKEN_BYTES = 192_512
const SUBJECTS = 300
const OWN_TOKENS = 2890

function storeIn (failureDomain: string): CacheStore {
  const address = `store-${failureDomain}`
  return { address, hash: hashNumber(address), failureDomain, cacheTokens: 1_800_000, linkBytesPerMs: 93_750_000 }
}

const routing: Routing = {
  revision: 1,
  routes: [],
  services: new Map([['engines', { name: 'engines', healthPath: '', mostConnections: 1, engine: { slots: 32, cacheTokens: 71_780, tokenBytes: TOKEN_BYTES, mostEventCalls: 1 } }]]),
  cacheStores: ['a', 'b', 'c'].map(storeIn),
  accounts: [],
  cacheIsolation: CacheIsolation.create([]),
  limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }
}

function listedEngine (id: string, address: string, failureDomain = 'a'): ListedServer {
  return { id, startedAt: 0, service: 'engines', address, failureDomain, slots: 32, state: ServerState.Ready, coldLeftMs: 0, softwareVersion: 'v1', weights: new Map<string, number>() }
}

/** One instance's view of the stores. */
class Instance {
  readonly savedLevels = SavedLevels.create()
  readonly fetchLoad = FetchLoad.create(store => this.announcedTokens.get(store) ?? 0)
  readonly announcedTokens = new Map<string, number>()
  readonly silent = new Set<string>()

  /** @param tokensBefore prompt tokens that wait at the engine. */
  terms (subject: number, request: number, failureDomain = 'a', now = 0, tokensBefore = 0): SendTerms {
    const listed = listedEngine('e', '127.0.0.1:1', failureDomain)
    const levels = [{ id: 'root', tokens: 2520 }, { id: `subject ${subject}`, tokens: 3780 }, { id: `own ${request}`, tokens: OWN_TOKENS }]
    const exchange = createExchange(now, { prompt: { model: 'model', levels, promptTokens: 9190, outputTokens: 10 } })
    return planTerms(exchange, { listed, weights: new Map([['model', 1]]) }, '', { routing, stores: routing.cacheStores.filter(({ address }) => !this.silent.has(address)), savedLevels: this.savedLevels, fetchLoad: this.fetchLoad, tokensBefore, tokensPerMs: 110, mayYield: true, now })
  }
}

describe('terms of a request with a shared prompt', () => {
  // With several stores, an instance that fetches from another store than the one that has the level finds nothing,
  // and the caller waits for thousands of tokens that were read before.
  it('name the same store at every instance, and spread levels over all stores', t => {
    const [first, second] = [new Instance(), new Instance()]
    const counts = new Map<string, number>()
    for (let subject = 0; subject < SUBJECTS; subject++) {
      const saved = first.terms(subject, 1)
      t.not(saved.saveTo, '')
      t.is(second.terms(subject, 2).fetchFrom, saved.saveTo)
      counts.set(saved.saveTo, (counts.get(saved.saveTo) ?? 0) + 1)
    }
    t.true([...counts.values()].every(count => count > SUBJECTS / 4), `${[...counts]}`)
  })

  // The link of one store is full, so its levels are read again. If the fleet stopped fetching from all stores, engines
  // would have to read what the other stores could deliver at once.
  it('skip only the store whose link is full', t => {
    const instance = new Instance()
    instance.announcedTokens.set('store-b', 1_000_000)
    const sources = Array.from({ length: SUBJECTS }, (_, subject) => instance.terms(subject, 1).fetchFrom)
    t.deepEqual([...new Set(sources)].sort(), ['', 'store-a', 'store-c'])
  })

  // A store is down. A server that is ordered to fetch from it waits some hundred milliseconds for nothing.
  it('name the next store while the home does not answer, and have the level saved there', t => {
    const instance = new Instance()
    const home = instance.terms(1, 1).saveTo
    instance.silent.add(home)
    const next = instance.terms(1, 2)
    t.not(next.saveTo, '')
    t.not(next.saveTo, home)
    t.is(next.fetchFrom, next.saveTo)
    instance.silent.delete(home)
    t.is(instance.terms(1, 3).fetchFrom, home)
    routing.cacheStores.forEach(({ address }) => instance.silent.add(address))
    t.is(instance.terms(1, 4).fetchFrom, '')
  })

  // A transfer between failure domains takes twice the link capacity. Counted once, fetches would pile up.
  it('count a transfer between failure domains twice, and only levels that the store is known to have', t => {
    const instance = new Instance()
    const first = instance.terms(1, 1)
    const home = first.saveTo.replace('store-', '')
    t.is(first.fetchedTokens, 0)
    t.is(first.unreadTokens, 9190)
    const near = instance.terms(1, 2, home)
    t.deepEqual([near.fetchedTokens, near.unreadTokens, near.saveTo], [3780, OWN_TOKENS, ''])
    t.is(instance.terms(1, 3, home === 'a' ? 'b' : 'a').fetchedTokens, 2 * 3780)
  })

  // The engine's queue alone takes longer than the objective. At its usual priority the request would be late, and it
  // would also delay the next one, which could still be in time.
  it('lower the priority of a request that the queue makes late, and of no other', t => {
    const { objectiveMs } = createExchange(0).route
    const instance = new Instance()
    const [idle, full] = [instance.terms(1, 1), instance.terms(2, 2, 'a', 0, objectiveMs * 110)]
    t.false(idle.isYielding)
    t.true(full.isYielding)
    t.is(full.priority, idle.priority + 5)
  })
})
