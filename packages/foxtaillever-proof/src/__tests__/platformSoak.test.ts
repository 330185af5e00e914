import { describe, it } from 'foxtaillever-testing'
import { runPlatformSoak } from '../platformSoak/runPlatformSoak.js'

const entry = new URL('../../../../platform/dist/main.js', import.meta.url).pathname

describe('the entry process under faults', () => {
  // Processes are killed, paused and restarted while the store and the servers fail. Callers may be
  // refused, but no request may run twice, be cut off unnoticed, or be reported as not run though it ran.
  it('keeps its promises in a short run', async t => {
    const { violations, outcomes } = await runPlatformSoak({ seed: 1, seconds: 5, entry })
    t.deepEqual(violations, [])
    t.true((outcomes[200] ?? 0) > 0)
  })

  // Guards against new processes that spend the retry budget of their former ones again, and against streams
  // that go on at another software version after the instances that knew theirs were killed.
  it('keeps the retry budget and the software version of streams while instances are killed in series', async t => {
    const { violations, seen } = await runPlatformSoak({ seed: 2, seconds: 14, entry, faultNames: ['kill instances in series', 'replace a server', 'fault the servers', 'start servers again under their ids'] })
    t.deepEqual(violations, [])
    t.true((seen.streamsTakenUp ?? 0) > 0)
  })

  // Guards against streams of seconds that an instance cuts around a shutdown, a reload or a configuration, though their servers go on.
  it('cuts no stream over planned work in series, also with a third of a processor', async t => {
    const { violations, seen } = await runPlatformSoak({ seed: 2, seconds: 12, entry, faultNames: ['stop instances in order in series', 'stop an instance with two signals', 'reload the settings of instances', 'change the configuration in series', 'hold the processors of instances back'] })
    t.deepEqual(violations, [])
    t.true((seen.longStreamsWhole ?? 0) > 0)
  })
})
