import { once } from 'node:events'
import { connect, createServer, type AddressInfo, type Socket } from 'node:net'
import { SystemClock } from 'foxtaillever-core'
import { describe, holdUpUntil, it } from 'foxtaillever-testing'
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
  // The process has no processor for a while, or its machine stood still. The server's answer came in time and waits
  // in the socket, but the timer is due first: the try is given up, and a request that may run once is lost.
  it('hears what arrived while the process was held up', async t => {
    const clock = SystemClock.create()
    const { near, far, close } = await openPair()
    await new Promise<void>(resolve => far.write('an answer', () => resolve()))
    const until = clock.now() + PATIENCE_MS
    let isSilent = false
    const watch = SilenceWatch.start({ clock, firstUntil: until, nextUntil: () => Infinity, onSilent: () => { isSilent = true } })
    const heard = new Promise<void>(resolve => near.once('data', () => {
      watch.hear()
      resolve()
    }))
    holdUpUntil(until)
    await heard
    watch.stop()
    t.false(isSilent)
    close()
  })

  it('tells silence where nothing arrived', async t => {
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
})
