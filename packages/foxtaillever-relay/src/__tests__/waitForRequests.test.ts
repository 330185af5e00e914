import { describe, it, VirtualClock } from 'foxtaillever-testing'
import { waitForRequests } from '../waitForRequests.js'

interface Shutdown {
  readonly graceMs: number
  readonly unanswered: number
}

/** Returns after how many milliseconds a shutdown ended, and when it stopped listening. */
async function measure ({ graceMs, unanswered }: Shutdown): Promise<{ readonly endedMs: number, readonly stoppedListeningMs: number }> {
  const clock = VirtualClock.create()
  const startedAt = clock.now()
  let stoppedListeningMs = Infinity
  let endedMs = Infinity
  const shutdown = waitForRequests({ clock, graceMs, stopListening: async () => { stoppedListeningMs = clock.now() - startedAt }, unanswered: () => unanswered })
    .then(() => { endedMs = clock.now() - startedAt })
  await clock.advanceBy(graceMs * 2)
  await shutdown
  return { endedMs, stoppedListeningMs }
}

describe('the wait of a shutdown', () => {
  // Guards against a process that is killed with answers in flight since its grace period is shorter than the load balancer's checks.
  for (const graceMs of [400, 1000, 2500, 8000, 30_000]) {
    it(`ends before a grace period of ${graceMs} ms does, with answers that are not written out`, async t => {
      const { endedMs, stoppedListeningMs } = await measure({ graceMs, unanswered: 1 })
      t.true(endedMs < graceMs)
      t.true(stoppedListeningMs <= endedMs)
    })
  }

  it('ends once the load balancer has noticed, if nothing is unanswered', async t => {
    const { endedMs, stoppedListeningMs } = await measure({ graceMs: 30_000, unanswered: 0 })
    t.is(endedMs, stoppedListeningMs)
  })
})
