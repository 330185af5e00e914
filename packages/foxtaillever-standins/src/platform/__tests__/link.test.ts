import { createServer, connect, type AddressInfo, type Socket } from 'node:net'
import { once } from 'node:events'
import { describe, it } from 'foxtaillever-testing'
import { Link, LinkFault } from '../link.js'

interface Line {
  readonly link: Link
  readonly open: () => Promise<Socket>
  readonly close: () => void
}

/** A link to a server that answers with what it hears. */
async function createLine (): Promise<Line> {
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

async function ask (socket: Socket, word: string): Promise<string> {
  socket.write(word)
  const [answer] = await once(socket, 'data') as [Buffer]
  return answer.toString()
}

describe('a link to a server', () => {
  it('passes bytes on both ways', async t => {
    const { open, close } = await createLine()
    t.is(await ask(await open(), 'word'), 'word')
    close()
  })

  // A connection between an instance and a server is reset. The instance hears of it at once.
  it('resets what is open, and carries new connections', async t => {
    const { link, open, close } = await createLine()
    const socket = await open()
    await ask(socket, 'first')
    const ended = new Promise<void>(resolve => socket.once('close', () => resolve()))
    link.strike(LinkFault.Reset)
    await ended
    t.is(await ask(await open(), 'second'), 'second')
    close()
  })

  // A connection stays open and carries nothing any more, so that only a timeout shows it.
  for (const fault of [LinkFault.Silent, LinkFault.DeafCaller]) {
    it(`says nothing more on what is open after ${fault}, and carries new connections`, async t => {
      const { link, open, close } = await createLine()
      const socket = await open()
      await ask(socket, 'first')
      let isHeard = false
      socket.on('data', () => { isHeard = true })
      link.strike(fault)
      socket.write('lost')
      t.is(await ask(await open(), 'second'), 'second')
      t.false(isHeard)
      t.false(socket.destroyed)
      close()
    })
  }
})
