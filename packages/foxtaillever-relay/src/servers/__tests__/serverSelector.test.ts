import { SeededRandom } from 'foxtaillever-core'
import { describe, it, VirtualClock } from 'foxtaillever-testing'
import { createExchange } from '../../__fixtures__/createExchange.js'
import { ServerState } from '../../model/listedServer.js'
import { FleetLoad } from '../../peers/fleetLoad.js'
import { ServerSelector } from '../serverSelector.js'
import { ServerDirectory } from '../serverDirectory.js'

const BOUND_MS = 8000
const SLOTS = 48

/** Whether the only engine is chosen with this many outstanding requests, this long after newer weights were named. */
function isChosen (outstanding: number, outdatedMs: number, onlyServers?: ReadonlySet<string>): boolean {
  const clock = VirtualClock.create()
  const directory = ServerDirectory.create({ onChanged: () => {} })
  directory.applyEntry({ id: 'e', startedAt: 0, service: 'engines', address: '127.0.0.1:1', failureDomain: 'a', slots: SLOTS, state: ServerState.Ready, coldLeftMs: 0, softwareVersion: 'v1', weights: new Map([['model', 1]]) }, 0)
  const engine = directory.get('e')
  if (engine) {
    engine.outstanding = outstanding
  }
  const weights = { outdatedSince: () => clock.now() - outdatedMs }
  const selector = ServerSelector.create({ clock, random: SeededRandom.create(1), failureDomain: 'a', directory, fleetLoad: FleetLoad.create(clock), estimateLevelFetch: () => ({ fetchMs: 0, waitMs: 0, missingTokens: () => 0 }), stores: () => [], weights, weightsBoundMs: BOUND_MS, pauseObjectiveMsOf: () => undefined, isUsable: () => true })
  return selector.selectServer(createExchange(clock.now()), { failed: new Set(), onlyServers, wasMisdirected: false }) !== undefined
}

/** The engine chosen among twenty: the queried ones have the given numbers of tokens to process, and nothing is known of the others. */
function chooseAmong (queried: ReadonlyMap<string, number>, changing: readonly string[] = [], backingOff: readonly string[] = [], slow: readonly string[] = []): string | undefined {
  const clock = VirtualClock.create()
  const directory = ServerDirectory.create({ onChanged: () => {} })
  const fleetLoad = FleetLoad.create(clock)
  for (let index = 0; index < 20; index += 1) {
    const id = `e${index}`
    directory.applyEntry({ id, startedAt: 0, service: 'engines', address: `127.0.0.1:${index + 1}`, failureDomain: 'a', slots: SLOTS, state: ServerState.Ready, coldLeftMs: 0, softwareVersion: 'v1', weights: new Map([['model', 1]]) }, index)
    const engine = directory.get(id)
    const tokens = queried.get(id)
    if (engine && tokens !== undefined) {
      fleetLoad.setWatchedLoad(engine.hash, { outstanding: 4, tokens, heldTokens: 0 })
      engine.speed = { tokensPerMs: slow.includes(id) ? 20 : undefined, weightStep: 0 }
      engine.changingUntil = changing.includes(id) ? Infinity : 0
      engine.peerBackoffUntil = backingOff.includes(id) ? Infinity : 0
    }
  }
  const selector = ServerSelector.create({ clock, random: SeededRandom.create(1), failureDomain: 'a', directory, fleetLoad, estimateLevelFetch: () => ({ fetchMs: 0, waitMs: 0, missingTokens: () => 9190 }), stores: () => [], weights: { outdatedSince: () => undefined }, weightsBoundMs: BOUND_MS, pauseObjectiveMsOf: () => undefined, isUsable: () => true })
  const hashes = new Set([...queried.keys()].flatMap(id => directory.get(id)?.hash ?? []))
  return selector.selectServer(createExchange(clock.now(), { service: 'engines', prompt: { model: 'model', levels: [{ id: 'root', tokens: 6300 }, { id: 'own', tokens: 2890 }], promptTokens: 9190, outputTokens: 10 } }), { failed: new Set(), wasMisdirected: false }, hashes)?.listed.id
}

describe('ServerSelector with many servers', () => {
  // All engines have a queue. It is known only of the queried ones; what was known of the others is seconds old and has
  // decayed. A prompt sent to one of the others waits as long, and its shared levels are computed once more.
  it('takes the best queried server, not one of which nothing is known', t => {
    t.is(chooseAmong(new Map([['e3', 30_000], ['e7', 20_000]])), 'e7')
  })

  // The shorter queue of a slow server takes longer to read.
  it('takes a server with a longer queue that it reads faster', t => {
    t.is(chooseAmong(new Map([['e3', 30_000], ['e7', 20_000]]), [], [], ['e7']), 'e3')
  })

  // Guards against a request to a server that has just asked another instance for backoff.
  it('skips a server that is backing off for other instances while another accepts requests', t => {
    t.is(chooseAmong(new Map([['e3', 30_000], ['e7', 20_000]]), [], ['e7']), 'e3')
  })

  it('takes another server if no queried one accepts requests', t => {
    const chosen = chooseAmong(new Map([['e3', 30_000], ['e7', 20_000]]), ['e3', 'e7'])
    t.false(['e3', 'e7'].includes(chosen ?? ''))
  })
})

describe('ServerSelector for runs with a long output', () => {
  // Each run occupies one of sixteen slots for seconds. If runs concentrate on few engines, prompts wait there for a slot
  // and running streams pause, while most of the fleet has free slots.
  it('occupies at most half of the slots of any engine while a fifth of the fleet\'s slots are occupied', t => {
    const clock = VirtualClock.create()
    const directory = ServerDirectory.create({ onChanged: () => {} })
    for (let index = 0; index < 20; index += 1) {
      directory.applyEntry({ id: `e${index}`, startedAt: 0, service: 'engines', address: `127.0.0.1:${index + 1}`, failureDomain: 'a', slots: 16, state: ServerState.Ready, coldLeftMs: 0, softwareVersion: 'v1', weights: new Map([['model', 1]]) }, index)
    }
    const selector = ServerSelector.create({ clock, random: SeededRandom.create(1), failureDomain: 'a', directory, fleetLoad: FleetLoad.create(clock), estimateLevelFetch: () => ({ fetchMs: 0, waitMs: 0, missingTokens: () => 628 }), stores: () => [], weights: { outdatedSince: () => undefined }, weightsBoundMs: BOUND_MS, pauseObjectiveMsOf: () => undefined, isUsable: () => true })
    for (let run = 0; run < 64; run += 1) {
      const prompt = { model: 'model', levels: [{ id: `subject-${run}`, tokens: 198 }, { id: `own-${run}`, tokens: 628 }], promptTokens: 826, outputTokens: 500 }
      const engine = selector.selectServer(createExchange(clock.now(), { service: 'engines', prompt }), { failed: new Set(), wasMisdirected: false })
      if (engine) {
        engine.outstanding += 1
      }
    }
    const taken = directory.ready('engines').map(({ outstanding }) => outstanding)
    t.is(taken.reduce((sum, count) => sum + count, 0), 64)
    t.true(Math.max(...taken) <= 8, String(taken))
  })
})

describe('ServerSelector with replaced weights', () => {
  // Guards against a request that waits two seconds in the queue of a full engine and begins after the bound, on weights
  // that are no longer allowed.
  it('accounts for the wait in the queue of a full engine', t => {
    t.true(isChosen(10, 6000))
    t.false(isChosen(10, 7000))
    t.true(isChosen(SLOTS, 4500))
    t.false(isChosen(SLOTS, 6000))
  })
})

describe('ServerSelector for a request that may run at no further server', () => {
  // Guards against more servers than the route allows.
  it('takes only servers that may have run it', t => {
    t.true(isChosen(10, 0, new Set(['e'])))
    t.false(isChosen(10, 0, new Set(['other'])))
  })
})
