import { SeededRandom } from 'foxtaillever-core'
import { describe, it } from 'foxtaillever-testing'
import { mixHashes } from '../../placement/rendezvous.js'
import { placeExchange, type PlacementNeed, type ServerOffer } from '../placeExchange.js'

const SERVERS = 6
const KEYS = 300
const PROMPT_TOKENS = 9190
const TOKENS_PER_MS = 110

function offers (given: Partial<ServerOffer> = {}): ServerOffer[] {
  return Array.from({ length: SERVERS }, (_, index) => ({
    id: `e${index}`,
    hash: mixHashes(index + 1, 77),
    failureDomain: `d${index % 3}`,
    slots: 48,
    outstanding: 0,
    waitingTokens: 0,
    missingTokens: 2890,
    heldTokens: 0,
    memoryTokens: 71_780,
    isRefusing: false,
    isAbsent: false,
    faultCostMs: 0,
    isChanging: false,
    isOutdated: false,
    coldLeftMs: 0,
    ...given
  }))
}

function need (promptKey: number | undefined, failureDomain = 'd0'): PlacementNeed {
  return { promptKey, promptTokens: PROMPT_TOKENS, sharedTokens: 6300, outputTokens: 10, pace: { tokensPerMs: TOKENS_PER_MS, fetchMs: 27 }, objectiveMs: 400, workMs: 20, fetchWaitMs: 0, failureDomain }
}

/** Places requests one after the other, each adding its work, and gives the work at each server, milliseconds. */
function burst (count: number, promptKey: number, start: ServerOffer[]): Map<string, number> {
  const random = SeededRandom.create(3)
  const waiting = new Map(start.map(({ id, waitingTokens }) => [id, waitingTokens]))
  for (let placed = 0; placed < count; placed += 1) {
    const now = start.map(offer => ({ ...offer, waitingTokens: waiting.get(offer.id) ?? 0 }))
    const chosen = placeExchange(now, need(promptKey), random)?.id ?? ''
    waiting.set(chosen, (waiting.get(chosen) ?? 0) + PROMPT_TOKENS)
  }
  return new Map([...waiting].map(([id, tokens]) => [id, tokens / TOKENS_PER_MS]))
}

describe('placement of an exchange', () => {
  // Instances that choose differently for one shared level have it read at each engine, and it crowds out others.
  it('is the same at all instances while servers are idle', t => {
    for (let key = 0; key < KEYS; key += 1) {
      const chosen = ['d0', 'd1', 'd2'].map((domain, seed) => placeExchange(offers(), need(key * 7919, domain), SeededRandom.create(seed))?.id)
      t.is(new Set(chosen).size, 1, `key ${key}`)
    }
  })

  it('gives each server its part of the keys', t => {
    const random = SeededRandom.create(1)
    const counts = new Map<string, number>()
    for (let key = 0; key < KEYS; key += 1) {
      const id = placeExchange(offers(), need(key * 7919), random)?.id ?? ''
      counts.set(id, (counts.get(id) ?? 0) + 1)
    }
    t.is(counts.size, SERVERS)
    t.true(Math.max(...counts.values()) < 2 * KEYS / SERVERS)
  })

  // Thirty callers ask for one hot level at once. At its home alone the last of them waits two and a half seconds.
  it('spreads a hot level once its home is busy', t => {
    const alone = 30 * PROMPT_TOKENS / TOKENS_PER_MS
    const longest = Math.max(...burst(30, 42, offers()).values())
    t.true(longest < alone / 3, `${longest} of ${alone} ms`)
  })

  // An engine that changes its weights turns requests away, and each costs a retry of the fleet's budget.
  it('leaves out an engine that changes its weights, also as a home', t => {
    const home = placeExchange(offers(), need(42), SeededRandom.create(1))?.id
    const changing = offers().map(offer => ({ ...offer, isChanging: offer.id === home }))
    t.is(burst(20, 42, changing).get(home ?? ''), 0)
  })

  // Fetches wait for the store's one link. Whoever leaves a home that is briefly busy waits longer there, or has the level read once more.
  it('stays at a busy home while fetches wait', t => {
    const home = placeExchange(offers(), need(42), SeededRandom.create(1))?.id
    const busy = offers().map(offer => ({ ...offer, waitingTokens: offer.id === home ? PROMPT_TOKENS : 0 }))
    t.not(placeExchange(busy, need(42), SeededRandom.create(1))?.id, home)
    t.is(placeExchange(busy, { ...need(42), fetchWaitMs: 280 }, SeededRandom.create(1))?.id, home)
  })

  // An engine with free slots had no room for one more large prompt: it dropped a running one, and both were read twice.
  it('reckons with memory before slots', t => {
    const home = placeExchange(offers(), need(42), SeededRandom.create(1))?.id
    const full = offers().map(offer => ({ ...offer, heldTokens: offer.id === home ? 7 * PROMPT_TOKENS : 0 }))
    t.not(placeExchange(full, need(42), SeededRandom.create(1))?.id, home)
    t.is(placeExchange(full, { ...need(42), promptTokens: 800 }, SeededRandom.create(1))?.id, home)
  })

  // A home is dark. Were it still the home, each instance would send the level's requests to another engine, and the
  // fleet would read the level as often as it has engines.
  it('agrees on one engine while the home is not there', t => {
    const asked = need(42, 'elsewhere')
    const home = placeExchange(offers(), asked, SeededRandom.create(1))?.id
    const dark = offers().map(offer => ({ ...offer, isAbsent: offer.id === home }))
    const chosen = Array.from({ length: 20 }, (_, seed) => placeExchange(dark, asked, SeededRandom.create(seed))?.id)
    t.is(new Set(chosen).size, 1)
    t.not(chosen[0], home)
  })

  it('leaves out an engine that has just turned a request away', t => {
    const home = placeExchange(offers(), need(42), SeededRandom.create(1))?.id
    const refusing = offers().map(offer => ({ ...offer, isRefusing: offer.id === home }))
    t.not(placeExchange(refusing, need(42), SeededRandom.create(1))?.id, home)
  })

  // The one that crashed is idle and at home to the levels; requests that go there come back, and the service has no other.
  it('leaves out a server that nobody listens for, unless there is no other', t => {
    const home = placeExchange(offers(), need(42), SeededRandom.create(1))?.id
    const absent = offers().map(offer => ({ ...offer, isAbsent: offer.id === home, outstanding: offer.id === home ? 0 : 40 }))
    t.not(placeExchange(absent, need(42), SeededRandom.create(1))?.id, home)
    t.is(placeExchange(absent.filter(({ isAbsent }) => isAbsent), need(42), SeededRandom.create(1))?.id, home)
  })

  it('prefers free slots of a plain service to a queue nearby', t => {
    const [near, far] = offers({ slots: 6 }) as [ServerOffer, ServerOffer]
    t.is(placeExchange([{ ...near, outstanding: 8 }, far], need(undefined), SeededRandom.create(1))?.id, far.id)
  })

  it('has no answer without servers', t => {
    t.is(placeExchange([], need(1), SeededRandom.create(1)), undefined)
  })
})
