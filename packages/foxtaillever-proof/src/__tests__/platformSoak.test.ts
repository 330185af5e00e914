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
})
