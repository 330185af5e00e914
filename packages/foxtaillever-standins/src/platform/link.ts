/**
 * A link to a server, on loopback: passes bytes on both ways, and can be made
 * to reset its connections, to fall silent without closing them, or to lose one
 * direction only.
 */
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'

export enum LinkFault {
  /** Every open connection is reset once; new ones work. */
  Reset = 'reset',
  /** Open connections carry nothing any more and stay open; new ones work. */
  Silent = 'silent',
  /** What the server says on open connections is lost; what it hears is not. */
  DeafCaller = 'deaf-caller'
}

interface Passage {
  readonly near: Socket
  readonly far: Socket
}

/**
 * A socket whose end is on its way cannot be reset: libuv refuses, node keeps
 * its handle open, and the process that holds it never ends.
 */
function reset (socket: Socket): void {
  if (socket.writableEnded) {
    socket.destroy()
  } else {
    socket.resetAndDestroy()
  }
}

const strikes: Readonly<Record<LinkFault, (passage: Passage) => void>> = {
  [LinkFault.Reset]: ({ near, far }) => {
    reset(near)
    reset(far)
  },
  [LinkFault.Silent]: ({ near, far }) => {
    near.unpipe(far).pause()
    far.unpipe(near).pause()
  },
  [LinkFault.DeafCaller]: ({ near, far }) => { far.unpipe(near).resume() }
}

export class Link {
  private readonly server: Server
  private readonly passages = new Set<Passage>()

  private constructor (private readonly target: string) {
    this.server = createServer(near => this.open(near))
  }

  static create (target: string): Link {
    return new Link(target)
  }

  /** Returns the address at which the target is reached over this link. */
  async listen (host: string): Promise<string> {
    await new Promise<void>(resolve => this.server.listen(0, host, resolve))
    return `${host}:${(this.server.address() as AddressInfo).port}`
  }

  strike (fault: LinkFault): void {
    this.passages.forEach(strikes[fault])
  }

  close (): void {
    this.server.close()
    for (const { near, far } of this.passages) {
      near.destroy()
      far.destroy()
    }
  }

  private open (near: Socket): void {
    const [host = '', port] = this.target.split(':')
    const far = connect(Number(port), host)
    const passage = { near, far }
    this.passages.add(passage)
    near.pipe(far)
    far.pipe(near)
    const end = (): void => {
      this.passages.delete(passage)
      near.destroy()
      far.destroy()
    }
    for (const socket of [near, far]) {
      socket.setNoDelay(true)
      socket.on('error', () => strikes[LinkFault.Reset](passage))
      socket.on('close', end)
    }
  }
}
