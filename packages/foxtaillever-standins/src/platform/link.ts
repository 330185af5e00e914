/**
 * TCP proxy to a server on loopback. A fault hits the connections that are open: they
 * are reset, or forward nothing, or only in one direction. A cut also hits the
 * connections that are opened until it is repaired.
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

/** How connections over the link fail while it is cut. */
export enum LinkCut {
  /** Open and new connections forward nothing; open ones go on where they stopped once the link is repaired. */
  Hang = 'hang',
  /** Open connections are reset and new ones refused. */
  Reset = 'reset',
  /** Open connections work and new ones are refused. */
  RefuseNew = 'refuse-new',
  /** Open connections are reset, and new ones as soon as they are accepted. */
  ResetAccepted = 'reset-accepted',
  /** Open connections are reset, and new ones as soon as the caller has sent something. */
  ResetAfterSend = 'reset-after-send',
  /** On open and new connections, bytes from the server are lost and bytes to the server are forwarded. */
  OneWay = 'one-way'
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

/** What a cut does to connections that are open when it begins. */
const cutActions: Readonly<Record<LinkCut, (connection: LinkedConnection) => void>> = {
  [LinkCut.Hang]: faultActions[LinkFault.Silent],
  [LinkCut.Reset]: faultActions[LinkFault.Reset],
  [LinkCut.RefuseNew]: () => {},
  [LinkCut.ResetAccepted]: faultActions[LinkFault.Reset],
  [LinkCut.ResetAfterSend]: faultActions[LinkFault.Reset],
  [LinkCut.OneWay]: faultActions[LinkFault.AnswersLost]
}

/** What a repair does to connections that are open when the cut ends. */
const repairActions: Readonly<Record<LinkCut, (connection: LinkedConnection) => void>> = {
  [LinkCut.Hang]: ({ callerSocket, serverSocket }) => {
    callerSocket.pipe(serverSocket)
    serverSocket.pipe(callerSocket)
  },
  [LinkCut.Reset]: () => {},
  [LinkCut.RefuseNew]: () => {},
  [LinkCut.ResetAccepted]: () => {},
  [LinkCut.ResetAfterSend]: () => {},
  [LinkCut.OneWay]: faultActions[LinkFault.Reset]
}

/** Cuts during which the link refuses new connections. */
const refusingCuts: ReadonlySet<LinkCut> = new Set([LinkCut.Reset, LinkCut.RefuseNew])

/** Cuts during which the link accepts new connections only to reset them, as a proxy does whose server is down. */
const acceptingCuts: ReadonlySet<LinkCut> = new Set([LinkCut.ResetAccepted, LinkCut.ResetAfterSend])

export class Link {
  private readonly server: Server
  private readonly connections = new Set<LinkedConnection>()
  private currentCut: LinkCut | undefined
  private address = { host: '', port: 0 }
  private isClosed = false
  private isTargetUp = true

  private constructor (readonly target: string) {
    this.server = createServer(callerSocket => this.open(callerSocket))
  }

  static create (target: string): Link {
    return new Link(target)
  }

  /**
   * Returns the address at which this link forwards to the target.
   * @param port a free one if not given.
   */
  async listen (host: string, port = 0): Promise<string> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(port, host, resolve)
    })
    this.address = { host, port: (this.server.address() as AddressInfo).port }
    return `${host}:${this.address.port}`
  }

  /** Cuts the link until it is repaired; a cut link stays cut as it is. */
  cut (cut: LinkCut): void {
    if (this.currentCut !== undefined) {
      return
    }
    this.currentCut = cut
    this.listenOrRefuse()
    this.connections.forEach(cutActions[cut])
  }

  repair (): void {
    const cut = this.currentCut
    if (cut === undefined || this.isClosed) {
      return
    }
    this.currentCut = undefined
    this.listenOrRefuse()
    this.connections.forEach(repairActions[cut])
  }

  /** While the target is down, the link refuses connections as the target would, unless a cut accepts them. */
  setTargetUp (isUp: boolean): void {
    this.isTargetUp = isUp
    this.listenOrRefuse()
  }

  private listenOrRefuse (): void {
    const isRefusing = this.currentCut === undefined ? !this.isTargetUp : refusingCuts.has(this.currentCut) || (!this.isTargetUp && !acceptingCuts.has(this.currentCut))
    if (isRefusing && this.server.listening) {
      this.server.close()
    } else if (!isRefusing && !this.server.listening && !this.isClosed) {
      this.server.listen(this.address.port, this.address.host)
    }
  }

  injectFault (fault: LinkFault): void {
    this.connections.forEach(faultActions[fault])
  }

  close (): void {
    this.isClosed = true
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
    if (this.currentCut === LinkCut.ResetAfterSend) {
      callerSocket.once('data', () => faultActions[LinkFault.Reset](connection))
    } else if (this.currentCut !== undefined) {
      cutActions[this.currentCut](connection)
    }
  }
}
