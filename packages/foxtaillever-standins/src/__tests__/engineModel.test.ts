/** The stand-in engine, run in virtual time. */
import { Failure, OrderKind, SeededRandom, Verdict, type StreamEnd, type StreamStart } from 'foxtaillever-core'
import { describe, it, VirtualClock } from 'foxtaillever-testing'
import { EngineModel, type EngineDependencies } from '../engine/engineModel.js'
import type { EngineOptions, Generation, StreamSink } from '../engine/generation.js'
import { KeptCacheStoreModel } from '../platform/keptCacheStoreModel.js'
import { WeightStoreModel } from '../platform/weightStoreModel.js'
import { wholeAnswer } from '../answer.js'

const options: EngineOptions = {
  name: 'e1',
  models: ['m'],
  weightsVersion: 'v1',
  slots: 2,
  prefillTokensPerSecond: 10_000,
  decodeTokensPerSecond: 100,
  cacheTokens: 10_000,
  cacheKeptMs: 5000
}

const generation: Generation = {
  requestId: 'r1',
  account: 'a',
  model: 'm',
  prompt: 'p'.repeat(4000),
  maxTokens: 4,
  continueAfter: 0,
  priority: 1,
  expectedIncarnation: '',
  expectedWeights: ''
}

class Recorder implements StreamSink {
  start: StreamStart | undefined
  text = ''
  end: StreamEnd | undefined
  failure: Failure | undefined

  started (start: StreamStart): void { this.start = start }
  token (_sequence: number, text: string): void { this.text += text }
  finished (_sequence: number, end: StreamEnd): void { this.end = end }
  failed (failure: Failure): void { this.failure = failure }
}

function createEngine (changes: Partial<EngineOptions> = {}, dependencies: EngineDependencies = {}): { clock: VirtualClock, engine: EngineModel } {
  const clock = VirtualClock.create()
  return { clock, engine: EngineModel.create({ ...options, ...changes }, clock, dependencies) }
}

async function run (clock: VirtualClock, engine: EngineModel, changes: Partial<Generation> = {}): Promise<Recorder> {
  const sink = new Recorder()
  engine.submit({ ...generation, ...changes }, sink).ifLeft(failure => sink.failed(failure))
  await clock.advanceBy(1000)
  return sink
}

describe('stand-in engine', () => {
  describe('prefix cache', () => {
    it('answers whole and hits for the same account only', async t => {
      const { clock, engine } = createEngine()
      const first = await run(clock, engine)
      const second = await run(clock, engine)
      const other = await run(clock, engine, { account: 'b' })
      t.is(first.text, wholeAnswer(generation.prompt, 4))
      t.deepEqual([first, second, other].map(sink => sink.end?.cachedTokens), [0, 992, 0])
    })

    it('forgets blocks some seconds after their last use', async t => {
      const { clock, engine } = createEngine()
      await run(clock, engine)
      await clock.advanceBy(5000)
      t.is((await run(clock, engine)).end?.cachedTokens, 0)
    })
  })

  describe('crash', () => {
    // An engine dies on one prompt and comes back empty under another incarnation. A caller sees its
    // stream cut; whoever counts on the old cache would promise speed that is not there.
    it('comes back empty, elsewhere than before, and says so to whoever expects the old one', async t => {
      const { clock, engine } = createEngine()
      const before = await run(clock, engine)
      engine.setFaults({ poisonMarker: 'poison' })
      const victim = await run(clock, engine, { prompt: 'poison' })
      const stale = await run(clock, engine, { expectedIncarnation: before.start?.incarnation ?? '' })
      const fresh = await run(clock, engine)
      t.is(victim.failure?.verdict, Verdict.MayHaveRun)
      t.is(stale.failure?.verdict, Verdict.NotRun)
      t.is(fresh.end?.cachedTokens, 0)
    })
  })

  describe('mid-stream cut', () => {
    // The connection goes in the middle of an answer while the engine runs on. A caller whose router
    // resumes sees nothing of it; one whose router starts anew would see tokens twice.
    it('goes on unseen and is resumed after the last event', async t => {
      const { clock, engine } = createEngine()
      engine.setFaults({ cutStreams: 1, cutAfterTokens: 2 })
      const cut = await run(clock, engine)
      const rest = new Recorder()
      engine.resume(cut.start?.streamId ?? '', 2, rest)
      t.truthy(cut.failure)
      t.is(cut.text + rest.text, wholeAnswer(generation.prompt, 4))
      t.is(engine.runs.get('r1'), 1)
    })
  })

  describe('freeze and slowness', () => {
    // An engine hangs with its connections open. Nothing comes, nothing breaks; a caller just waits.
    it('moves nothing while frozen and goes on afterwards', async t => {
      const { clock, engine } = createEngine()
      engine.setFaults({ frozen: true })
      const sink = await run(clock, engine)
      t.is(sink.start, undefined)
      engine.setFaults({ frozen: false })
      await clock.advanceBy(1000)
      t.is(sink.text, wholeAnswer(generation.prompt, 4))
    })

    it('takes as many times longer as it is told', async t => {
      const { clock, engine } = createEngine()
      engine.setFaults({ slowFactor: 20 })
      const sink = await run(clock, engine, { maxTokens: 5 })
      t.is(sink.end, undefined)
      await clock.advanceBy(5000)
      t.is(sink.end?.completionTokens, 5)
    })
  })

  describe('cache events', () => {
    // Events come late and some are lost. A reader that took the list for whole would believe in blocks that are gone.
    it('come after their lag and leave gaps in the numbers', async t => {
      const { clock, engine } = createEngine({ eventLagMs: 3000 }, { random: SeededRandom.create(3) })
      engine.setFaults({ lostEventShare: 0.5 })
      for (let index = 0; index < 20; index++) {
        engine.submit({ ...generation, prompt: `${index}`.repeat(400) }, new Recorder())
      }
      await clock.advanceBy(2000)
      t.deepEqual(engine.readEvents(0).events, [])
      await clock.advanceBy(3000)
      const sequences = engine.readEvents(0).events.map(event => event.sequence)
      t.true(sequences.length > 0 && sequences.length < 20)
      t.true(sequences.some((sequence, index) => sequence !== index + 1))
    })
  })

  describe('load reports', () => {
    it('tell what was some time ago', async t => {
      const { clock, engine } = createEngine({ loadLagMs: 2000 })
      await clock.advanceBy(2000)
      engine.submit({ ...generation, maxTokens: 1000 }, new Recorder())
      await clock.advanceBy(1000)
      t.is(engine.load().running, 0)
      await clock.advanceBy(1500)
      t.is(engine.load().running, 1)
    })
  })

  describe('orders', () => {
    const order = { id: 'o', kind: OrderKind.LoadVersion, model: 'm', weightsVersion: 'v2' } as const

    it('loads weights in 0.4 s once nothing runs, and voids the cache', async t => {
      const { clock, engine } = createEngine()
      await run(clock, engine)
      const before = engine.state().incarnation
      engine.give({ order, fence: 1, caller: 'x' })
      t.is((await run(clock, engine, { requestId: 'r2' })).failure?.verdict, Verdict.NotRun)
      t.is(engine.state().weightsVersion, 'v2')
      t.not(engine.state().incarnation, before)
      t.is((await run(clock, engine)).end?.cachedTokens, 0)
      t.false(engine.runs.has('r2'))
    })

    it('takes longer when more than two load at once', async t => {
      const clock = VirtualClock.create()
      const weightStore = WeightStoreModel.create(clock)
      const engines = ['a', 'b', 'c', 'd'].map(name => EngineModel.create({ ...options, name }, clock, { weightStore }))
      engines.forEach(engine => engine.give({ order, fence: 1, caller: 'x' }))
      await clock.advanceBy(500)
      t.deepEqual(engines.map(engine => engine.state().weightsVersion), ['v1', 'v1', 'v1', 'v1'])
      await clock.advanceBy(350)
      t.deepEqual(engines.map(engine => engine.state().weightsVersion), ['v2', 'v2', 'v2', 'v2'])
      t.is(weightStore.maxConcurrentLoads, 4)
    })

    it('checks fencing numbers and callers only where its settings say so', t => {
      const strict = createEngine({ checksFencing: true, trustedCallers: ['router'] }).engine
      const lax = createEngine().engine
      const outcomes = [strict, lax].map(engine => [
        engine.give({ order, fence: 7, caller: 'router' }),
        engine.give({ order, fence: 6, caller: 'router' }),
        engine.give({ order, fence: 8, caller: 'stranger' })
      ].map(outcome => outcome.isRight()))
      t.deepEqual(outcomes, [[true, false, false], [true, true, true]])
    })
  })

  describe('kept cache', () => {
    // A prefix is copied from one engine to another. Were it taken for another account or other weights,
    // a caller would get an answer computed from someone else's prompt.
    it('is imported only as what it is', async t => {
      const keptCacheStore = KeptCacheStoreModel.create(100_000)
      const source = createEngine({}, { keptCacheStore })
      const target = createEngine({ name: 'e2' }, { keptCacheStore })
      const old = createEngine({ name: 'e3', weightsVersion: 'v0' }, { keptCacheStore })
      const start = (await run(source.clock, source.engine)).start
      const identity = { account: 'a', model: 'm', adapter: '', weightsVersion: 'v1', incarnation: start?.incarnation ?? '' }
      await source.engine.exportCache({ key: 'k', identity, prompt: generation.prompt })
      const stranger = await target.engine.importCache({ key: 'k', identity: { ...identity, account: 'b' } })
      const older = await old.engine.importCache({ key: 'k', identity })
      const own = await target.engine.importCache({ key: 'k', identity })
      t.deepEqual([stranger, older, own].map(result => result.isRight()), [false, false, true])
      t.is((await run(target.clock, target.engine)).end?.cachedTokens, 992)
    })
  })
})
