import { SeededRandom } from 'foxtaillever-core'
import { describe, it } from 'foxtaillever-testing'
import { mixHashes } from '../../placement/rendezvous.js'
import { ordinaryConditions, placeExchange, type PlacementNeed, type ServerCandidate } from '../placeExchange.js'

const SERVERS = 6
const KEYS = 300
const PROMPT_TOKENS = 9190
const TOKENS_PER_MS = 110

function createCandidates (given: Partial<ServerCandidate> = {}): ServerCandidate[] {
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
    tokensPerMs: TOKENS_PER_MS,
    ...ordinaryConditions,
    ...given
  }))
}

function need (promptKey: number | undefined, failureDomain = 'd0'): PlacementNeed {
  return { promptKey, promptTokens: PROMPT_TOKENS, sharedTokens: 6300, outputTokens: 10, fetchMs: 27, objectiveMs: 400, workMs: 20, fetchWaitMs: 0, failureDomain }
}

/** Places requests one after the other, each adding its work, and returns the work at each server, milliseconds. */
function burst (count: number, promptKey: number, start: ServerCandidate[]): Map<string, number> {
  const random = SeededRandom.create(3)
  const waiting = new Map(start.map(({ id, waitingTokens }) => [id, waitingTokens]))
  for (let placed = 0; placed < count; placed += 1) {
    const candidates = start.map(candidate => ({ ...candidate, waitingTokens: waiting.get(candidate.id) ?? 0 }))
    const chosen = placeExchange(candidates, need(promptKey), random)?.id ?? ''
    waiting.set(chosen, (waiting.get(chosen) ?? 0) + PROMPT_TOKENS)
  }
  return new Map([...waiting].map(([id, tokens]) => [id, tokens / TOKENS_PER_MS]))
}

describe('placement among servers of different speed', () => {
  const SLOW = 21.6
  const FAST = 52.5
  const key = 7919

  /** Speed of the server chosen for an uncached prompt whose home is a slow server with running streams, while the fast one has more to read. */
  function chosenSpeed (promptTokens: number, pauseObjectiveMs?: number): number | undefined {
    const slow = createCandidates({ tokensPerMs: SLOW, missingTokens: promptTokens, outstanding: 6, failureDomain: 'd0' })
    const candidates = slow.map((candidate, index) => index === 5 ? { ...candidate, tokensPerMs: FAST, outstanding: 12, waitingTokens: 11_000 } : candidate)
    const placement = { ...need(key), homeHash: candidates[0]?.hash, promptTokens, sharedTokens: 0.6 * promptTokens, objectiveMs: 815, fetchMs: 38, pauseObjectiveMs }
    return placeExchange(candidates, placement, SeededRandom.create(1))?.tokensPerMs
  }

  // Guards against large prompts at slow servers, where reading them makes all running streams pause for too long.
  it('sends a prompt whose reading pauses running streams for too long to a faster server', t => {
    t.is(chosenSpeed(9190), SLOW)
    t.is(chosenSpeed(9190, 500), FAST)
  })

  it('leaves a prompt at its home where reading it pauses no stream for too long', t => {
    t.is(chosenSpeed(6000, 500), SLOW)
  })
})

describe('placement of an exchange', () => {
  // If instances choose different engines for one shared level, each engine reads it and evicts others.
  it('is the same at all instances while servers are idle', t => {
    for (let key = 0; key < KEYS; key += 1) {
      const chosen = ['d0', 'd1', 'd2'].map((domain, seed) => placeExchange(createCandidates(), need(key * 7919, domain), SeededRandom.create(seed))?.id)
      t.is(new Set(chosen).size, 1, `key ${key}`)
    }
  })

  it('gives each server its share of the keys', t => {
    const random = SeededRandom.create(1)
    const counts = new Map<string, number>()
    for (let key = 0; key < KEYS; key += 1) {
      const id = placeExchange(createCandidates(), need(key * 7919), random)?.id ?? ''
      counts.set(id, (counts.get(id) ?? 0) + 1)
    }
    t.is(counts.size, SERVERS)
    t.true(Math.max(...counts.values()) < 2 * KEYS / SERVERS)
  })

  // Thirty callers request one hot level at once. At its home alone the last of them waits two and a half seconds.
  it('spreads a hot level once its home is busy', t => {
    const alone = 30 * PROMPT_TOKENS / TOKENS_PER_MS
    const longest = Math.max(...burst(30, 42, createCandidates()).values())
    t.true(longest < alone / 3, `${longest} of ${alone} ms`)
  })

  // An engine that changes its weights refuses requests, and each refusal costs a retry of the fleet's budget.
  it('skips an engine that changes its weights, also as a home', t => {
    const home = placeExchange(createCandidates(), need(42), SeededRandom.create(1))?.id
    const changing = createCandidates().map(candidate => ({ ...candidate, isChanging: candidate.id === home }))
    t.is(burst(20, 42, changing).get(home ?? ''), 0)
  })

  // Fetches wait for the store's one link. A request that avoids a briefly busy home waits longer for the link, or has the
  // level read once more.
  it('stays at a busy home while fetches wait', t => {
    const home = placeExchange(createCandidates(), need(42), SeededRandom.create(1))?.id
    const busy = createCandidates().map(candidate => ({ ...candidate, waitingTokens: candidate.id === home ? PROMPT_TOKENS : 0 }))
    t.not(placeExchange(busy, need(42), SeededRandom.create(1))?.id, home)
    t.is(placeExchange(busy, { ...need(42), fetchWaitMs: 280 }, SeededRandom.create(1))?.id, home)
  })

  // An engine with free slots had no memory for one more large prompt: it preempted a running one, and both were read twice.
  it('considers memory before slots', t => {
    const home = placeExchange(createCandidates(), need(42), SeededRandom.create(1))?.id
    const full = createCandidates().map(candidate => ({ ...candidate, heldTokens: candidate.id === home ? 7 * PROMPT_TOKENS : 0 }))
    t.not(placeExchange(full, need(42), SeededRandom.create(1))?.id, home)
    t.is(placeExchange(full, { ...need(42), promptTokens: 800 }, SeededRandom.create(1))?.id, home)
  })

  // A home is unreachable. If it remained the home, each instance would send the level's requests to a different engine,
  // and every engine of the fleet would read the level.
  it('is the same at all instances while the home is unreachable', t => {
    const request = need(42, 'elsewhere')
    const home = placeExchange(createCandidates(), request, SeededRandom.create(1))?.id
    const unreachable = createCandidates().map(candidate => ({ ...candidate, isUnreachable: candidate.id === home }))
    const chosen = Array.from({ length: 20 }, (_, seed) => placeExchange(unreachable, request, SeededRandom.create(seed))?.id)
    t.is(new Set(chosen).size, 1)
    t.not(chosen[0], home)
  })

  it('skips an engine that has just refused a request', t => {
    const home = placeExchange(createCandidates(), need(42), SeededRandom.create(1))?.id
    const refusing = createCandidates().map(candidate => ({ ...candidate, isRefusing: candidate.id === home }))
    t.not(placeExchange(refusing, need(42), SeededRandom.create(1))?.id, home)
  })

  // A crashed engine looks idle and is the home of the levels: requests sent there fail. Yet it may be the service's only one.
  it('skips an unreachable server, unless there is no other', t => {
    const home = placeExchange(createCandidates(), need(42), SeededRandom.create(1))?.id
    const absent = createCandidates().map(candidate => ({ ...candidate, isUnreachable: candidate.id === home, outstanding: candidate.id === home ? 0 : 40 }))
    t.not(placeExchange(absent, need(42), SeededRandom.create(1))?.id, home)
    t.is(placeExchange(absent.filter(({ isUnreachable }) => isUnreachable), need(42), SeededRandom.create(1))?.id, home)
  })

  it('prefers free slots of a plain service to a queue nearby', t => {
    const [near, far] = createCandidates({ slots: 6 }) as [ServerCandidate, ServerCandidate]
    t.is(placeExchange([{ ...near, outstanding: 8 }, far], need(undefined), SeededRandom.create(1))?.id, far.id)
  })

  it('chooses no server without candidates', t => {
    t.is(placeExchange([], need(1), SeededRandom.create(1)), undefined)
  })
})
