import { createServer, connect, type AddressInfo, type Socket } from 'node:net'
import { once } from 'node:events'
import { describe, it } from 'foxtaillever-testing'
import { Link, LinkFault } from '../link.js'

interface EchoLink {
  readonly link: Link
  readonly open: () => Promise<Socket>
  readonly close: () => void
}

/** Creates a link to a server that echoes what it receives. */
async function createEchoLink (): Promise<EchoLink> {
  const sockets: Socket[] = []
  const echo = createServer(socket => {
    sockets.push(socket)
    socket.on('error', () => {})
    socket.pipe(socket)
  })
  await new Promise<void>(resolve => echo.listen(0, '127.0.0.1', resolve))
  const link = Link.create(`127.0.0.1:${(echo.address() as AddressInfo).port}`)
  const port = Number((await link.listen('127.0.0.1')).split(':')[1])
  const open = async (): Promise<Socket> => {
    const socket = connect(port, '127.0.0.1')
    socket.on('error', () => {})
    sockets.push(socket)
    await once(socket, 'connect')
    return socket
  }
  const close = (): void => {
    sockets.forEach(socket => socket.destroy())
    link.close()
    echo.close()
  }
  return { link, open, close }
}

async function exchange (socket: Socket, text: string): Promise<string> {
  socket.write(text)
  const [answer] = await once(socket, 'data') as [Buffer]
  return answer.toString()
}

describe('a link to a server', () => {
  it('forwards bytes in both directions', async t => {
    const { open, close } = await createEchoLink()
    t.is(await exchange(await open(), 'word'), 'word')
    close()
  })

  // A connection between an instance and a server is reset. The instance notices it at once.
  it('resets open connections, and forwards new ones', async t => {
    const { link, open, close } = await createEchoLink()
    const socket = await open()
    await exchange(socket, 'first')
    const ended = new Promise<void>(resolve => socket.once('close', () => resolve()))
    link.injectFault(LinkFault.Reset)
    await ended
    t.is(await exchange(await open(), 'second'), 'second')
    close()
  })

  // A connection stays open and forwards nothing, so that only a timeout detects it.
  for (const fault of [LinkFault.Silent, LinkFault.AnswersLost]) {
    it(`sends nothing on open connections after ${fault}, and forwards new ones`, async t => {
      const { link, open, close } = await createEchoLink()
      const socket = await open()
      await exchange(socket, 'first')
      let hasReceived = false
      socket.on('data', () => { hasReceived = true })
      link.injectFault(fault)
      socket.write('lost')
      t.is(await exchange(await open(), 'second'), 'second')
      t.false(hasReceived)
      t.false(socket.destroyed)
      close()
    })
  }
})
