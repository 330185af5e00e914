import { createPreset, PresetName, SeededRandom, type LogRecord } from 'foxtaillever-core'
import { describe, it, VirtualClock } from 'foxtaillever-testing'
import { LogReader } from '../../log/logReader.js'
import { AppendFate, FakeLog } from '../__fixtures__/fakeLog.js'
import { ChangeKind, type Change } from '../change.js'
import { ConfigurationStore } from '../configurationStore.js'
import { PublicationOutcome, Publisher, type Publication } from '../publisher.js'

const WAIT_MS = 5000

const switchTo = (name: PresetName): Change => ({ kind: ChangeKind.SwitchPreset, name })

function createInstance (log: FakeLog, clock: VirtualClock, seed: number) {
  const store = ConfigurationStore.create()
  const publisher = Publisher.create(log, store, clock, SeededRandom.create(seed))
  const reader = LogReader.create(log, clock, [store.take, publisher.take])
  reader.start()
  return { store, publisher, reader }
}

type Instance = ReturnType<typeof createInstance>

function publish ({ publisher, store }: Instance, clock: VirtualClock, author: string, preset: PresetName, base = store.configuration().revision): Promise<Publication> {
  return publisher.publish({ base, author, changes: [switchTo(preset)], deadline: clock.now() + WAIT_MS })
}

/** What the log itself says became of a publication. */
function expectedOutcome (records: readonly LogRecord[], store: ConfigurationStore, { id }: Publication): PublicationOutcome {
  if (!records.some(record => record.id === id)) {
    return PublicationOutcome.Unknown
  }
  return store.acceptedRevision(id) ? PublicationOutcome.Accepted : PublicationOutcome.Refused
}

const fates = Object.values(AppendFate)
/** Which of two operators appends first, and whether the second waits until the first has been read. */
const orders = [[0, 1, false], [1, 0, false], [0, 1, true], [1, 0, true]] as const

describe('Publisher', () => {
  describe('two operators race', () => {
    for (const first of fates) {
      for (const second of fates) {
        for (const [one, other, apart] of orders) {
          it(`tells each the truth: ${first}, ${second}, order ${one}${other}${apart ? ' apart' : ''}`, async t => {
            // Two operators change the same revision through two instances, and
            // answers of the log get lost. Were one told "accepted" wrongly, or a
            // record appended again, a preset would switch back by itself.
            const clock = VirtualClock.create()
            const log = FakeLog.create(clock)
            const instances = [createInstance(log, clock, 1), createInstance(log, clock, 2)] as const
            await clock.advanceBy(200)
            log.decide(first, second)
            const presets = [PresetName.Peaks, PresetName.Maintenance] as const
            const publications = [publish(instances[one], clock, `operator-${one}`, presets[one], 0)]
            await clock.advanceBy(apart ? 500 : 0)
            publications.push(publish(instances[other], clock, `operator-${other}`, presets[other], 0))
            await clock.advanceBy(WAIT_MS + 1000)
            const answers = await Promise.all(publications)
            const { store } = instances[0]
            const accepted = answers.filter(answer => answer.outcome === PublicationOutcome.Accepted)
            t.true(accepted.length <= 1)
            t.true(log.appends <= 2)
            answers.forEach(answer => {
              const expected = answer.outcome === PublicationOutcome.Refused && !log.all().some(({ id }) => id === answer.id)
                ? PublicationOutcome.Refused
                : expectedOutcome(log.all(), store, answer)
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

  it('says at once that nothing was published when the log is down', async t => {
    const clock = VirtualClock.create()
    const log = FakeLog.create(clock)
    const instance = createInstance(log, clock, 1)
    log.isDown = true
    const answer = await publish(instance, clock, 'operator', PresetName.Peaks)
    t.is(answer.outcome, PublicationOutcome.NotPublished)
  })

  it('finds its record when the log comes back within the deadline', async t => {
    // The log takes the record and then goes down before it answers. The operator
    // hears the truth once it can be read again, not a guess before.
    const clock = VirtualClock.create()
    const log = FakeLog.create(clock)
    const instance = createInstance(log, clock, 1)
    await clock.advanceBy(200)
    log.decide(AppendFate.AnswerLost)
    const answer = publish(instance, clock, 'operator', PresetName.Peaks)
    log.isDown = true
    await clock.advanceBy(3000)
    t.is(instance.store.configuration().revision, 0)
    log.isDown = false
    await clock.advanceBy(1000)
    t.is((await answer).outcome, PublicationOutcome.Accepted)
  })

  it('tells a refused operator the truth when a peer\'s copy overtook the reading', async t => {
    // A copy taken from a peer jumps over the operator's record, so that the fold
    // itself never sees it. Without the history the operator would wait in vain.
    const clock = VirtualClock.create()
    const log = FakeLog.create(clock)
    const [slow, quick] = [createInstance(log, clock, 1), createInstance(log, clock, 2)]
    await clock.advanceBy(200)
    log.readDelayMs = 1000
    const won = publish(quick, clock, 'winner', PresetName.Maintenance)
    const lost = publish(slow, clock, 'loser', PresetName.Peaks)
    const copy = ConfigurationStore.create()
    log.all().forEach(record => copy.take(record))
    slow.store.offer(copy.current())
    t.is(slow.store.configuration().revision, 1)
    await clock.advanceBy(4000)
    t.is((await won).outcome, PublicationOutcome.Accepted)
    const answer = await lost
    t.is(answer.outcome, PublicationOutcome.Refused)
    t.is(answer.author, 'winner')
  })

  it('leaves a base ahead of its own fold to the log', async t => {
    // The operator saw the revision through an instance that reads faster.
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
