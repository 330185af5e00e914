import { createPreset, PresetName, SeededRandom, type LogRecord } from 'foxtaillever-core'
import { describe, it, VirtualClock } from 'foxtaillever-testing'
import { LogReader } from '../../log/logReader.js'
import { AppendOutcome, FakeLog } from '../__fixtures__/fakeLog.js'
import { ChangeKind, type Change } from '../change.js'
import { ConfigurationStore } from '../configurationStore.js'
import { PublicationOutcome, Publisher, type Publication } from '../publisher.js'

const WAIT_MS = 5000

const switchTo = (name: PresetName): Change => ({ kind: ChangeKind.SwitchPreset, name })

function createInstance (log: FakeLog, clock: VirtualClock, seed: number) {
  const store = ConfigurationStore.create()
  const publisher = Publisher.create(log, store, clock, SeededRandom.create(seed))
  const reader = LogReader.create(log, clock, [store.applyRecord, publisher.handleRecord])
  reader.start()
  return { store, publisher, reader }
}

type Instance = ReturnType<typeof createInstance>

function publish ({ publisher, store }: Instance, clock: VirtualClock, author: string, preset: PresetName, base = store.configuration().revision): Promise<Publication> {
  return publisher.publish({ base, author, changes: [switchTo(preset)], deadline: clock.now() + WAIT_MS })
}

/** The outcome of a publication according to the log. */
function expectedOutcome (records: readonly LogRecord[], store: ConfigurationStore, { id }: Publication): PublicationOutcome {
  if (!records.some(record => record.id === id)) {
    return PublicationOutcome.Unknown
  }
  return store.acceptedRevision(id) ? PublicationOutcome.Accepted : PublicationOutcome.Refused
}

const outcomes = Object.values(AppendOutcome)
/** Which operator appends first, which second, and whether the second waits until the first record has been read. */
const appendOrders = [[0, 1, false], [1, 0, false], [0, 1, true], [1, 0, true]] as const

describe('Publisher', () => {
  describe('two concurrent operators', () => {
    for (const first of outcomes) {
      for (const second of outcomes) {
        for (const [former, latter, isApart] of appendOrders) {
          it(`reports the outcome in the log: ${first}, ${second}, order ${former}${latter}${isApart ? ' apart' : ''}`, async t => {
            // Two operators change the same revision through two instances, and
            // answers of the log get lost. If a change were wrongly reported as
            // accepted, or a record appended again, a preset would switch back by itself.
            const clock = VirtualClock.create()
            const log = FakeLog.create(clock)
            const instances = [createInstance(log, clock, 1), createInstance(log, clock, 2)] as const
            await clock.advanceBy(200)
            log.setAppendOutcomes(first, second)
            const presets = [PresetName.Peaks, PresetName.Maintenance] as const
            const publications = [publish(instances[former], clock, `operator-${former}`, presets[former], 0)]
            await clock.advanceBy(isApart ? 500 : 0)
            publications.push(publish(instances[latter], clock, `operator-${latter}`, presets[latter], 0))
            await clock.advanceBy(WAIT_MS + 1000)
            const answers = await Promise.all(publications)
            const { store } = instances[0]
            const accepted = answers.filter(answer => answer.outcome === PublicationOutcome.Accepted)
            t.true(accepted.length <= 1)
            t.true(log.appends <= 2)
            answers.forEach(answer => {
              const expected = answer.outcome === PublicationOutcome.Refused && !log.allRecords().some(({ id }) => id === answer.id)
                ? PublicationOutcome.Refused
                : expectedOutcome(log.allRecords(), store, answer)
              t.is(answer.outcome, expected)
            })
            answers.filter(answer => answer.outcome === PublicationOutcome.Refused).forEach(answer => {
              t.is(answer.revision, store.configuration().revision)
              t.is(answer.author, store.current().history.at(-1)!.author)
            })
            t.is(instances[0].store.current().digest, instances[1].store.current().digest)
          })
        }
      }
    }
  })

  it('reports at once that nothing was published when the log is down', async t => {
    const clock = VirtualClock.create()
    const log = FakeLog.create(clock)
    const instance = createInstance(log, clock, 1)
    log.isDown = true
    const answer = await publish(instance, clock, 'operator', PresetName.Peaks)
    t.is(answer.outcome, PublicationOutcome.NotPublished)
  })

  it('finds its record when the log recovers within the deadline', async t => {
    // The log appends the record and goes down before it answers. The operator gets
    // the outcome when the log can be read again, not a guess before.
    const clock = VirtualClock.create()
    const log = FakeLog.create(clock)
    const instance = createInstance(log, clock, 1)
    await clock.advanceBy(200)
    log.setAppendOutcomes(AppendOutcome.AnswerLost)
    const answer = publish(instance, clock, 'operator', PresetName.Peaks)
    log.isDown = true
    await clock.advanceBy(3000)
    t.is(instance.store.configuration().revision, 0)
    log.isDown = false
    await clock.advanceBy(1000)
    t.is((await answer).outcome, PublicationOutcome.Accepted)
  })

  it('reports a refusal when a peer\'s copy overtook the reading of the log', async t => {
    // A peer's copy jumps over the operator's record, so the store never folds that
    // record. Without the history, the operator would get no outcome by the deadline.
    const clock = VirtualClock.create()
    const log = FakeLog.create(clock)
    const [slow, quick] = [createInstance(log, clock, 1), createInstance(log, clock, 2)]
    await clock.advanceBy(200)
    log.readDelayMs = 1000
    const won = publish(quick, clock, 'winner', PresetName.Maintenance)
    const lost = publish(slow, clock, 'loser', PresetName.Peaks)
    const copy = ConfigurationStore.create()
    log.allRecords().forEach(record => copy.applyRecord(record))
    slow.store.offerCopy(copy.current())
    t.is(slow.store.configuration().revision, 1)
    await clock.advanceBy(4000)
    t.is((await won).outcome, PublicationOutcome.Accepted)
    const answer = await lost
    t.is(answer.outcome, PublicationOutcome.Refused)
    t.is(answer.author, 'winner')
  })

  it('leaves the decision on a newer base to the log', async t => {
    // The operator saw the newer revision through an instance that reads the log faster.
    const clock = VirtualClock.create()
    const log = FakeLog.create(clock)
    const [quick, slow] = [createInstance(log, clock, 1), createInstance(log, clock, 2)]
    await clock.advanceBy(200)
    const first = publish(quick, clock, 'one', PresetName.Peaks, 0)
    const second = publish(slow, clock, 'two', createPreset(PresetName.Maintenance).name, 1)
    await clock.advanceBy(1000)
    t.is((await first).outcome, PublicationOutcome.Accepted)
    t.is((await second).outcome, PublicationOutcome.Accepted)
  })
})
