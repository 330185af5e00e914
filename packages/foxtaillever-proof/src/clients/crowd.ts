/** Connections of misbehaving clients: each sends given bytes, may leave answers unread, and may disconnect early. */
import { connect, type Socket } from 'node:net'
import { waitUntil, type Clock } from 'foxtaillever-core'

/** One client of a crowd. */
export interface Client {
  /** Sent one after another on one connection, each as soon as the connection accepts it. */
  readonly pieces: readonly Buffer[]
  /** Whether it reads answers. */
  readonly reads: boolean
  /** How long after it has connected the client leaves, milliseconds; undefined if it stays with the crowd. */
  readonly leavesAfterMs?: number
}

export interface Crowd {
  readonly connections: number
  /** Which of the process's addresses the crowd connects to. */
  readonly door: string
  readonly clientOf: (index: number) => Client
}

/** Connections that are opened together. */
const BATCH = 50

/** Between two batches, milliseconds. */
const BATCH_INTERVAL_MS = 10

export class CrowdConnections {
  private readonly sockets: Socket[] = []

  private constructor (private readonly clock: Clock, private readonly address: string) {}

  /** @param address IP address and port. */
  static create (clock: Clock, address: string): CrowdConnections {
    return new CrowdConnections(clock, address)
  }

  /** Resolves when all connections were tried; they go on sending afterwards. */
  async open ({ connections, clientOf }: Crowd): Promise<void> {
    for (let index = 0; index < connections; index += 1) {
      this.connect(clientOf(index))
      if (index % BATCH === BATCH - 1) {
        await waitUntil(this.clock, this.clock.now() + BATCH_INTERVAL_MS)
      }
    }
  }

  leave (): void {
    this.sockets.forEach(socket => socket.destroy())
  }

  private connect ({ pieces, reads, leavesAfterMs }: Client): void {
    const [host, port] = this.address.split(':')
    const socket = connect({ host, port: Number(port), allowHalfOpen: false })
    this.sockets.push(socket)
    // The process may refuse or close the connection at any time.
    socket.on('error', () => {})
    socket.once('connect', () => {
      if (reads) {
        socket.resume()
      }
      this.sendFrom(socket, pieces, 0)
      if (leavesAfterMs !== undefined) {
        this.clock.at(this.clock.now() + leavesAfterMs, () => socket.destroy())
      }
    })
  }

  private sendFrom (socket: Socket, pieces: readonly Buffer[], index: number): void {
    const piece = pieces[index]
    if (piece !== undefined && !socket.destroyed) {
      socket.write(piece, error => {
        if (!error) {
          this.sendFrom(socket, pieces, index + 1)
        }
      })
    }
  }
}
