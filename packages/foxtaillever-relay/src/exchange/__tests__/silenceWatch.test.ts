import { once } from 'node:events'
import { connect, createServer, type AddressInfo, type Socket } from 'node:net'
import { SystemClock } from 'foxtaillever-core'
import { describe, blockEventLoopUntil, it, VirtualClock } from 'foxtaillever-testing'
import { SilenceWatch } from '../silenceWatch.js'

const PATIENCE_MS = 20

/** Two ends of a connection within this process. */
async function openPair (): Promise<{ readonly near: Socket, readonly far: Socket, readonly close: () => void }> {
  const server = createServer()
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const near = connect((server.address() as AddressInfo).port, '127.0.0.1')
  const [[far]] = await Promise.all([once(server, 'connection') as Promise<[Socket]>, once(near, 'connect')])
  const close = (): void => {
    near.destroy()
    far.destroy()
    server.close()
  }
  return { near, far, close }
}

describe('SilenceWatch', () => {
  // The process gets no CPU time for a while, or its machine was suspended. The server's answer arrived in time and
  // waits in the socket, but the timer fires first: the attempt times out, and a request that may run only once is lost.
  it('counts data that arrived while the process was blocked', async t => {
    const clock = SystemClock.create()
    const { near, far, close } = await openPair()
    await new Promise<void>(resolve => far.write('an answer', () => resolve()))
    const until = clock.now() + PATIENCE_MS
    let isSilent = false
    const watch = SilenceWatch.start({ clock, firstUntil: until, nextUntil: () => Infinity, onSilent: () => { isSilent = true } })
    const received = new Promise<void>(resolve => near.once('data', () => {
      watch.recordActivity()
      resolve()
    }))
    blockEventLoopUntil(until)
    await received
    watch.stop()
    t.false(isSilent)
    close()
  })

  it('reports silence where no data arrived', async t => {
    const clock = SystemClock.create()
    await new Promise<void>(resolve => {
      const watch = SilenceWatch.start({
        clock,
        firstUntil: clock.now() + PATIENCE_MS,
        nextUntil: () => Infinity,
        onSilent: () => {
          watch.stop()
          resolve()
        }
      })
    })
    t.pass()
  })

  // Guards against a server that counts as silent while this instance does not read from it.
  it('reports no silence while it is paused, and begins a new wait afterwards', async t => {
    const clock = VirtualClock.create()
    const silences: number[] = []
    const watch = SilenceWatch.start({ clock, firstUntil: PATIENCE_MS, nextUntil: receivedAt => receivedAt + PATIENCE_MS, onSilent: () => silences.push(clock.now()) })
    watch.pause()
    await clock.advanceBy(5 * PATIENCE_MS + 1)
    t.deepEqual(silences, [])
    const resumedAt = clock.now()
    watch.resume()
    await clock.advanceBy(PATIENCE_MS - 1)
    t.deepEqual(silences, [])
    await clock.advanceBy(2 * PATIENCE_MS)
    t.true(silences.length > 0 && silences.every(at => at >= resumedAt + PATIENCE_MS))
    watch.stop()
  })
})
