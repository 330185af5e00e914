import { SeededRandom } from 'foxtaillever-core'
import { describe, it } from 'foxtaillever-testing'
import { gatherLongRuns, type GatheringEngine } from '../gatherLongRuns.js'
import { placeExchange, type ServerOffer } from '../placeExchange.js'

function engine (weightsOrder: number, given: Partial<GatheringEngine> = {}): GatheringEngine {
  return { id: `e${weightsOrder}`, hash: weightsOrder, isOutdated: false, isOut: false, weightsOrder, slots: 48, outstanding: 8, ...given }
}

function offer (id: string, given: Partial<ServerOffer>): ServerOffer {
  return {
    id, hash: 1, failureDomain: 'a', slots: 48, outstanding: 0, waitingTokens: 0, missingTokens: 0, heldTokens: 0, memoryTokens: 0, isRefusing: false, isAbsent: false, faultCostMs: 0, isChanging: false, isOutdated: false, isGathering: false, coldLeftMs: 0, ...given
  }
}

describe('runs with a long output', () => {
  // Runs of several seconds on every engine: each change of weights cuts some short, or keeps an engine idle until they end.
  it('go to as few engines as hold the load, those that got the newest weights first', t => {
    const engines = [engine(5), engine(2), engine(0, { isOutdated: true }), engine(3, { isOut: true }), engine(1, { isOutdated: true }), engine(4)]
    t.deepEqual([...gatherLongRuns(engines)], ['e2', 'e4'])
  })

  it('go anywhere in a full fleet', t => {
    t.is(gatherLongRuns(Array.from({ length: 6 }, (_, order) => engine(order, { outstanding: 40 }))).size, 6)
  })

  it('prefer an engine that gathers them to an idle one, but not to one with room when it is full', t => {
    const need = { promptKey: 1, promptTokens: 800, sharedTokens: 0, outputTokens: 300, pace: { tokensPerMs: 110, fetchMs: 27 }, objectiveMs: 600, workMs: 20, fetchWaitMs: 0, isLong: true, failureDomain: 'a' }
    const place = (outstanding: number): string | undefined =>
      placeExchange([offer('gathering', { isGathering: true, outstanding }), offer('idle', {})], need, SeededRandom.create(1))?.id
    t.is(place(20), 'gathering')
    t.is(place(70), 'idle')
  })
})
