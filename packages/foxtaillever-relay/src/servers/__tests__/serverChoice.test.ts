import { SeededRandom } from 'foxtaillever-core'
import { describe, it, VirtualClock } from 'foxtaillever-testing'
import { exchangeAt } from '../../__fixtures__/exchanges.js'
import { ServerState } from '../../model/listedServer.js'
import { FleetLoad } from '../../peers/fleetLoad.js'
import { ServerChoice } from '../serverChoice.js'
import { ServerDirectory } from '../serverDirectory.js'

const BOUND_MS = 8000
const SLOTS = 48

/** Whether the only engine is chosen, so much running there and so long after newer weights were named. */
function isChosen (outstanding: number, outdatedMs: number): boolean {
  const clock = VirtualClock.create()
  const directory = ServerDirectory.create({ onChanged: () => {} })
  directory.observe({ id: 'e', startedAt: 0, service: 'engines', address: '127.0.0.1:1', failureDomain: 'a', slots: SLOTS, state: ServerState.Ready, coldLeftMs: 0, weights: new Map([['model', 1]]) }, 0)
  const engine = directory.get('e')
  if (engine) {
    engine.outstanding = outstanding
  }
  const weights = { outdatedSince: () => clock.now() - outdatedMs }
  const choice = ServerChoice.create({ clock, random: SeededRandom.create(1), failureDomain: 'a', directory, use: FleetLoad.create(clock), levelSupply: () => ({ fetchMs: 0, waitMs: 0, missingTokens: () => 0 }), stores: () => [], weights, weightsBoundMs: BOUND_MS })
  return choice.place(exchangeAt(clock.now()), { failed: new Set(), wasMisdirected: false }) !== undefined
}

/** The engine that is chosen of twenty, of which those that were asked for have so many tokens to read and no word tells of the others. */
function chooseAmong (asked: ReadonlyMap<string, number>, changing: readonly string[] = [], resting: readonly string[] = []): string | undefined {
  const clock = VirtualClock.create()
  const directory = ServerDirectory.create({ onChanged: () => {} })
  const use = FleetLoad.create(clock)
  for (let index = 0; index < 20; index += 1) {
    const id = `e${index}`
    directory.observe({ id, startedAt: 0, service: 'engines', address: `127.0.0.1:${index + 1}`, failureDomain: 'a', slots: SLOTS, state: ServerState.Ready, coldLeftMs: 0, weights: new Map([['model', 1]]) }, index)
    const engine = directory.get(id)
    const tokens = asked.get(id)
    if (engine && tokens !== undefined) {
      use.setWatchedLoad(engine.hash, { outstanding: 4, tokens, heldTokens: 0 })
      engine.changingUntil = changing.includes(id) ? Infinity : 0
      engine.restingForOthersUntil = resting.includes(id) ? Infinity : 0
    }
  }
  const choice = ServerChoice.create({ clock, random: SeededRandom.create(1), failureDomain: 'a', directory, use, levelSupply: () => ({ fetchMs: 0, waitMs: 0, missingTokens: () => 9190 }), stores: () => [], weights: { outdatedSince: () => undefined }, weightsBoundMs: BOUND_MS })
  const hashes = new Set([...asked.keys()].flatMap(id => directory.get(id)?.hash ?? []))
  return choice.place(exchangeAt(clock.now(), { service: 'engines', prompt: { model: 'model', levels: [{ id: 'root', tokens: 6300 }, { id: 'own', tokens: 2890 }], promptTokens: 9190, outputTokens: 10 } }), { failed: new Set(), wasMisdirected: false }, hashes)?.listed.id
}

describe('the choice among many servers', () => {
  // All engines have a queue. Those that were asked for are known to; of the others the last word is seconds old and has
  // faded. Sent to one of these, the prompt waits as long, and its shared levels are read once more.
  it('takes the best of those that were asked for, not one of whom nothing is known', t => {
    t.is(chooseAmong(new Map([['e3', 30_000], ['e7', 20_000]])), 'e7')
  })

  // Guards against a request to a server that has just asked another instance for rest.
  it('passes over one that rests for others while another takes requests', t => {
    t.is(chooseAmong(new Map([['e3', 30_000], ['e7', 20_000]]), [], ['e7']), 'e3')
  })

  it('takes another where none of these takes requests', t => {
    const chosen = chooseAmong(new Map([['e3', 30_000], ['e7', 20_000]]), ['e3', 'e7'])
    t.false(['e3', 'e7'].includes(chosen ?? ''))
  })
})

describe('the choice for runs with a long output', () => {
  // Each holds one of sixteen slots for seconds. Where they gather on few engines, prompts wait there for a slot and
  // running streams pause, while most of the fleet has room.
  it('leaves no engine with more than half of its slots taken while the fleet has a fifth', t => {
    const clock = VirtualClock.create()
    const directory = ServerDirectory.create({ onChanged: () => {} })
    for (let index = 0; index < 20; index += 1) {
      directory.observe({ id: `e${index}`, startedAt: 0, service: 'engines', address: `127.0.0.1:${index + 1}`, failureDomain: 'a', slots: 16, state: ServerState.Ready, coldLeftMs: 0, weights: new Map([['model', 1]]) }, index)
    }
    const choice = ServerChoice.create({ clock, random: SeededRandom.create(1), failureDomain: 'a', directory, use: FleetLoad.create(clock), levelSupply: () => ({ fetchMs: 0, waitMs: 0, missingTokens: () => 628 }), stores: () => [], weights: { outdatedSince: () => undefined }, weightsBoundMs: BOUND_MS })
    for (let run = 0; run < 64; run += 1) {
      const prompt = { model: 'model', levels: [{ id: `subject-${run}`, tokens: 198 }, { id: `own-${run}`, tokens: 628 }], promptTokens: 826, outputTokens: 500 }
      const engine = choice.place(exchangeAt(clock.now(), { service: 'engines', prompt }), { failed: new Set(), wasMisdirected: false })
      if (engine) {
        engine.outstanding += 1
      }
    }
    const taken = directory.ready('engines').map(({ outstanding }) => outstanding)
    t.is(taken.reduce((sum, one) => sum + one, 0), 64)
    t.true(Math.max(...taken) <= 8, String(taken))
  })
})

describe('the choice of a server with replaced weights', () => {
  // A request waited two seconds in the queue of a full engine and began after the bound, on weights it must not have.
  it('reckons with the wait in the queue of a full engine', t => {
    t.true(isChosen(10, 6000))
    t.false(isChosen(10, 7000))
    t.true(isChosen(SLOTS, 4500))
    t.false(isChosen(SLOTS, 6000))
  })
})
