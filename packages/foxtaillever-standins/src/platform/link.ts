/**
 * TCP proxy to a server on loopback, with faults: it can reset its connections,
 * stop forwarding without closing them, or stop forwarding in one direction.
 */
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'

export enum LinkFault {
  /** Open connections are reset; new ones work. */
  Reset = 'reset',
  /** Open connections stay open and forward nothing; new ones work. */
  Silent = 'silent',
  /** On open connections, bytes from the server are lost and bytes to the server are forwarded. */
  AnswersLost = 'deaf-caller'
}

interface LinkedConnection {
  readonly callerSocket: Socket
  readonly serverSocket: Socket
}

/**
 * Resets a socket, or destroys it if its end has been sent: libuv refuses to reset
 * such a socket, so node would keep its handle open and the process would never exit.
 */
function reset (socket: Socket): void {
  if (socket.writableEnded) {
    socket.destroy()
  } else {
    socket.resetAndDestroy()
  }
}

const faultActions: Readonly<Record<LinkFault, (connection: LinkedConnection) => void>> = {
  [LinkFault.Reset]: ({ callerSocket, serverSocket }) => {
    reset(callerSocket)
    reset(serverSocket)
  },
  [LinkFault.Silent]: ({ callerSocket, serverSocket }) => {
    callerSocket.unpipe(serverSocket).pause()
    serverSocket.unpipe(callerSocket).pause()
  },
  [LinkFault.AnswersLost]: ({ callerSocket, serverSocket }) => { serverSocket.unpipe(callerSocket).resume() }
}

export class Link {
  private readonly server: Server
  private readonly connections = new Set<LinkedConnection>()

  private constructor (private readonly target: string) {
    this.server = createServer(callerSocket => this.open(callerSocket))
  }

  static create (target: string): Link {
    return new Link(target)
  }

  /** Returns the address at which this link forwards to the target. */
  async listen (host: string): Promise<string> {
    await new Promise<void>(resolve => this.server.listen(0, host, resolve))
    return `${host}:${(this.server.address() as AddressInfo).port}`
  }

  injectFault (fault: LinkFault): void {
    this.connections.forEach(faultActions[fault])
  }

  close (): void {
    this.server.close()
    for (const { callerSocket, serverSocket } of this.connections) {
      callerSocket.destroy()
      serverSocket.destroy()
    }
  }

  private open (callerSocket: Socket): void {
    const [host = '', port] = this.target.split(':')
    const serverSocket = connect(Number(port), host)
    const connection = { callerSocket, serverSocket }
    this.connections.add(connection)
    callerSocket.pipe(serverSocket)
    serverSocket.pipe(callerSocket)
    const end = (): void => {
      this.connections.delete(connection)
      callerSocket.destroy()
      serverSocket.destroy()
    }
    for (const socket of [callerSocket, serverSocket]) {
      socket.setNoDelay(true)
      socket.on('error', () => faultActions[LinkFault.Reset](connection))
      socket.on('close', end)
    }
  }
}
