/** A backend server on loopback whose answers a test writes byte by byte. */
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'

/** A request as it arrived. */
export interface Arrival {
  readonly id: string
  readonly head: string
  readonly body: string
  /** Index of the connection, from 0. */
  readonly connection: number
  readonly socket: Socket
}

export type Answer = (arrival: Arrival) => void

const HEAD_END = '\r\n\r\n'

function headerOf (head: string, name: string): string {
  return new RegExp(`^${name}: *(.*)$`, 'im').exec(head)?.[1] ?? ''
}

export class ScriptedServer {
  readonly arrivals: Arrival[] = []
  readonly sockets: Socket[] = []
  private readonly waiting: Array<() => void> = []

  private constructor (private readonly server: Server, private readonly answersEarly: boolean) {}

  /** @param answersEarly whether it answers after a head, and reads none of the body that has not arrived by then. */
  static async start (answer: Answer, answersEarly = false): Promise<ScriptedServer> {
    const server = createServer()
    const scripted = new ScriptedServer(server, answersEarly)
    server.on('connection', socket => scripted.read(socket, answer))
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
    return scripted
  }

  get address (): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`
  }

  /** Waits until this number of requests has arrived. */
  async arrived (count: number): Promise<void> {
    while (this.arrivals.length < count) {
      await new Promise<void>(resolve => this.waiting.push(resolve))
    }
  }

  /** Waits until the peer has closed a connection. */
  async closed (connection: number): Promise<void> {
    const socket = this.sockets[connection]
    if (socket && !socket.destroyed) {
      await new Promise<void>(resolve => socket.once('close', () => resolve()))
    }
  }

  stop (): void {
    this.sockets.forEach(socket => socket.destroy())
    this.server.close()
  }

  private read (socket: Socket, answer: Answer): void {
    const connection = this.sockets.push(socket) - 1
    let text = ''
    socket.on('error', () => {})
    socket.on('data', bytes => {
      text += bytes.toString('latin1')
      for (;;) {
        const end = text.indexOf(HEAD_END)
        const head = text.slice(0, Math.max(0, end))
        const length = this.answersEarly ? 0 : Number(headerOf(head, 'content-length') || 0)
        if (end === -1 || text.length < end + HEAD_END.length + length) {
          return
        }
        const body = text.slice(end + HEAD_END.length, end + HEAD_END.length + length)
        text = text.slice(end + HEAD_END.length + length)
        const arrival = { id: headerOf(head, 'request-id'), head, body, connection, socket }
        if (this.answersEarly) {
          socket.pause()
        }
        this.arrivals.push(arrival)
        this.waiting.splice(0).forEach(wake => wake())
        answer(arrival)
      }
    })
  }
}

/** A complete answer with the server's stamp. */
export function wholeAnswer ({ id }: Arrival, body: string, status = '200 OK', ...headers: string[]): string {
  return [`HTTP/1.1 ${status}`, `request-id: ${id}`, 'stamp: s', `content-length: ${body.length}`, ...headers, '', body].join('\r\n')
}

/** The head of a stream of events; a framed stream continues in chunks. */
export function streamHead ({ id }: Arrival, isFramed = true): string {
  return ['HTTP/1.1 200 OK', `request-id: ${id}`, 'stamp: s', 'content-type: text/event-stream', isFramed ? 'transfer-encoding: chunked' : 'connection: close', '', ''].join('\r\n')
}

export function chunk (text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`
}
