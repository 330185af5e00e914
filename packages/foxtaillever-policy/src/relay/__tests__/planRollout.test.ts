import { describe, it } from 'foxtaillever-testing'
import { MIN_STEERED_MS, planRollout, RolloutPhase, type RolloutEngine } from '../planRollout.js'

function engine (id: string, given: Partial<RolloutEngine> = {}): RolloutEngine {
  return { id, hasWanted: false, phase: RolloutPhase.Serving, steeredMs: 0, orderedMs: 0, outdatedMs: 100, work: 6, waitMs: 0, slots: 48, ...given }
}

function current (id: string): RolloutEngine {
  return engine(id, { hasWanted: true })
}

const steered = { phase: RolloutPhase.Steered, steeredMs: MIN_STEERED_MS }

describe('a rollout of new weights', () => {
  // New weights are published every few seconds. If engines changed one after the other, or each only when its longest
  // run has ended, most answers would come from replaced weights or there would be none.
  it('takes as many engines out of service as may load at once, those with the least work first', t => {
    const engines = ['a', 'b', 'c', 'd', 'e', 'f'].map((id, index) => engine(id, { work: index }))
    t.deepEqual(planRollout(engines), { steer: ['a', 'b'], order: [] })
  })

  // With four of six engines out of service, two loading and two steered, the two that had just changed read all prompts
  // of the fleet again: a queue of a second formed there after each change.
  it('steers the next engines only when those that load are almost done', t => {
    const others = [engine('c'), engine('d'), engine('e'), engine('f')]
    const loading = (orderedMs: number): RolloutEngine[] => ['a', 'b'].map(id => engine(id, { phase: RolloutPhase.Ordered, orderedMs }))
    t.deepEqual(planRollout([...loading(100), ...others]).steer, [])
    t.deepEqual(planRollout([...loading(400), ...others]), { steer: ['c', 'd'], order: [] })
  })

  it('orders no more than may load at once, those with the least work first', t => {
    const engines = [engine('a', { ...steered, work: 5 }), engine('b', { ...steered, work: 1 }), engine('c', { ...steered, work: 3 }), engine('d', steered), engine('e'), engine('f')]
    t.deepEqual(planRollout(engines), { steer: [], order: ['b', 'c'] })
  })

  // A prompt that is read while the weights change would leave cached levels of two versions under one name.
  it('orders nothing before the prompts being read have been read', t => {
    const engines = [engine('a', { ...steered, steeredMs: MIN_STEERED_MS - 1, work: 0 }), engine('b'), engine('c')]
    t.deepEqual(planRollout(engines).order, [])
  })

  // The output of a run after the change is worth nothing, and an engine without new work that waits for the run's end is
  // missing.
  it('lets engines with long runs serve on once half of the fleet has the weights', t => {
    const rest = [current('c'), current('d'), current('e')]
    t.deepEqual(planRollout([engine('a', { work: 10 }), engine('b', { work: 1 }), engine('f', { work: 10 }), ...rest]).steer, ['b'])
    t.deepEqual(planRollout([engine('a', { work: 10, outdatedMs: 3600 }), engine('f', { work: 10 }), ...rest]).steer, ['a'])
  })

  it('lets short runs end at an engine that was steered once half of the fleet has the weights', t => {
    const rest = [current('c'), current('d'), current('e')]
    t.deepEqual(planRollout([engine('a', { ...steered, work: 10 }), engine('b', { ...steered, work: 1 }), ...rest]).order, ['b'])
    t.deepEqual(planRollout([engine('a', { ...steered, work: 10, steeredMs: 750 }), ...rest]).order, ['a'])
    t.deepEqual(planRollout([engine('a', { ...steered, work: 10, outdatedMs: 5000 }), ...rest]).order, ['a'])
  })

  // With versions published every two seconds, the engine with the most runs came last each time. After eight seconds it
  // could not begin requests any more, while some waited in its queue.
  it('does not let the engine with the most work come last every time', t => {
    const late = engine('late', { ...steered, work: 40, outdatedMs: 5000 })
    t.is(planRollout([engine('a', { ...steered, work: 0 }), engine('b', { ...steered, work: 0 }), late, engine('c')]).order[0], 'late')
    t.is(planRollout([engine('a', { work: 0 }), engine('b', { work: 0 }), engine('late', { work: 40, outdatedMs: 5000 }), engine('c')]).steer[0], 'late')
  })

  // The engines that had changed last had the least work when the next version was published a second later. They read
  // all prompts again twice, while others continued on weights replaced long before.
  it('changes the engines with the longest replaced weights first', t => {
    const engines = [engine('changed-late', { work: 0 }), engine('changed-early', { work: 5 }), engine('one', { work: 9, outdatedMs: 3500 }), engine('two', { work: 8, outdatedMs: 3500 })]
    t.deepEqual(planRollout(engines).steer, ['two', 'one'])
  })

  it('takes fewer out of service under load', t => {
    const engines = ['a', 'b', 'c', 'd', 'e', 'f'].map(id => engine(id, { work: 30 }))
    t.is(planRollout(engines).steer.length, 2)
  })

  it('changes as many of a large fleet at once as load without slowing down', t => {
    const engines = Array.from({ length: 42 }, (_, index) => engine(`e${index}`, steered))
    t.is(planRollout(engines).order.length, 12)
  })

  // Four of thirteen engines have crashed under full load, and three more are taken out of service for new weights: the
  // rest cannot read the arriving prompts, and for ten seconds most callers get their first token late.
  it('takes fewer engines out of service while prompts wait at the others, and as many as usual once the bound is near', t => {
    const fleet = (waitMs: number, outdatedMs = 100): RolloutEngine[] => Array.from({ length: 13 }, (_, index) => engine(String(index), { waitMs, outdatedMs }))
    t.is(planRollout(fleet(0)).steer.length, 3)
    t.is(planRollout(fleet(130)).steer.length, 2)
    t.is(planRollout(fleet(400)).steer.length, 1)
    t.is(planRollout(fleet(400, 2500)).steer.length, 3)
  })

  it('counts only the wait of serving engines', t => {
    const loading = Array.from({ length: 3 }, (_, index) => engine(`l${index}`, { phase: RolloutPhase.Ordered, orderedMs: 400, waitMs: 2000 }))
    const serving = Array.from({ length: 10 }, (_, index) => engine(`s${index}`))
    t.is(planRollout([...loading, ...serving]).steer.length, 3)
  })
})
