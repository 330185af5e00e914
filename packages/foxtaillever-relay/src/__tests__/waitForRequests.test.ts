import { setTimeout as wait } from 'node:timers/promises'
import { SystemClock } from 'foxtaillever-core'
import { describe, it, VirtualClock } from 'foxtaillever-testing'
import { readAll, RelayRig } from '../__fixtures__/relayRig.js'
import { wholeAnswer } from '../__fixtures__/scriptedServer.js'
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

/** Shortly before a shutdown closes idle connections, milliseconds. */
const BEFORE_CLOSE_MS = 2300

const STALL_MS = 700

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

describe('a graceful shutdown of an instance that stands still', () => {
  // Guards against closing a connection whose request has arrived whole and was not read yet.
  it('answers what arrived before it closes connections', async t => {
    const rig = await RelayRig.start({}, arrival => arrival.socket.write(wholeAnswer(arrival, `for ${arrival.id}`)))
    const socket = rig.connect()
    const text = readAll(socket)
    const send = (id: string): void => { socket.write(`POST /p HTTP/1.1\r\nhost: h\r\nrequest-id: ${id}\r\ncontent-length: 0\r\n\r\n`) }
    send('a')
    await rig.servers[0]?.arrived(1)
    const shutdown = waitForRequests({ clock: SystemClock.create(), graceMs: 8000, stopListening: async () => await rig.stopListening(), unanswered: () => rig.runs.size })
    await wait(BEFORE_CLOSE_MS)
    // After the sockets were read, so that due timers run before they are read again.
    await new Promise(resolve => setImmediate(resolve))
    send('b')
    const until = performance.now() + STALL_MS
    while (performance.now() < until) {
      // The process stands still.
    }
    await shutdown
    const received = await text
    rig.stop()
    t.regex(received, /for a[^]*for b$/)
  })
})
