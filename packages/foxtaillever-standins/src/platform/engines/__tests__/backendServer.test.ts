import { connect } from 'node:net'
import { describe, it, VirtualClock } from 'foxtaillever-testing'
import { BackendServer } from '../backendServer.js'

const RESTART_MS = 100

const idleRunner = { admit: () => undefined, run: () => true, cancel: () => {}, reset: () => {}, calls: {} }

function createServer (clock: VirtualClock): BackendServer {
  return BackendServer.create({ name: 'a', clock, restartMs: RESTART_MS, onCrashed: () => {}, onStarted: () => {} }, idleRunner)
}

async function accepts (address: string): Promise<boolean> {
  const [host = '', port] = address.split(':')
  return await new Promise(resolve => {
    const socket = connect(Number(port), host, () => {
      socket.destroy()
      resolve(true)
    })
    socket.on('error', () => resolve(false))
  })
}

describe('stand-in backend server', () => {
  it('comes back at its address after a crash', async t => {
    const clock = VirtualClock.create()
    const server = createServer(clock)
    await server.listen()
    server.crash()
    t.false(await accepts(server.address))
    await clock.advanceBy(RESTART_MS)
    t.true(await accepts(server.address))
    server.close()
  })

  // A request that was still on its way when the deployment ended crashes the server once more. Its restart then
  // keeps the whole test process alive.
  it('stays closed when a late request crashes it', async t => {
    const clock = VirtualClock.create()
    const server = createServer(clock)
    await server.listen()
    server.close()
    server.crash()
    await clock.advanceBy(RESTART_MS)
    t.false(await accepts(server.address))
  })
})
