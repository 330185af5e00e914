/** A caller's connection that accepts bytes of an answer only when the test says so, as a link with a small window does. */
import { subscribe, unsubscribe } from 'node:diagnostics_channel'
import type { Server } from 'node:http'
import type { Socket } from 'node:net'
import { Duplex } from 'node:stream'

/** Published by node:http for each request that a server of this process receives. */
const REQUEST_CHANNEL = 'http.server.request.start'

interface RequestStart {
  readonly server: Server
  readonly socket: Socket
}

export class SlowConnection extends Duplex {
  private readonly accepted: Buffer[] = []
  private heldBytes = 0
  private acceptHeld: (() => void) | undefined
  private isReading = false

  static create (): SlowConnection {
    return new SlowConnection()
  }

  /** All bytes that the caller has received. */
  get received (): string {
    return Buffer.concat(this.accepted).toString()
  }

  /** Bytes that were written and are not accepted, those that wait behind them not counted. */
  get held (): number {
    return this.heldBytes
  }

  /**
   * Sends a request, or the beginning of one.
   * @param contentLength length of the whole body, bytes.
   */
  sendRequest (path: string, headers: Readonly<Record<string, string>>, body = '', contentLength = Buffer.byteLength(body)): void {
    const fields = Object.entries({ ...headers, 'Content-Length': String(contentLength) }).map(([name, value]) => `${name}: ${value}`)
    this.push([`POST ${path} HTTP/1.1`, ...fields, '', body].join('\r\n'))
  }

  /** Accepts everything from now on. */
  startReading (): void {
    this.isReading = true
    this.acceptHeld?.()
  }

  /** As of a socket: ends once all bytes are accepted. */
  destroySoon (): void {
    this.end(() => this.destroy())
  }

  override _read (): void {}

  override _write (bytes: Buffer, _encoding: BufferEncoding, done: () => void): void {
    this.heldBytes = bytes.length
    this.acceptHeld = () => {
      this.acceptHeld = undefined
      this.heldBytes = 0
      this.accepted.push(bytes)
      done()
    }
    if (this.isReading) {
      this.acceptHeld()
    }
  }
}

/**
 * Connects a slow caller to a server of this process.
 * @param address IP address and port.
 * @param request sends any request to the server on a connection of its own.
 */
export async function connectSlowly (address: string, request: () => Promise<unknown>): Promise<SlowConnection> {
  let found: Server | undefined
  const find = (message: unknown): void => {
    const { server, socket } = message as RequestStart
    if (`${socket.localAddress}:${socket.localPort}` === address) {
      found = server
    }
  }
  subscribe(REQUEST_CHANNEL, find)
  await request()
  unsubscribe(REQUEST_CHANNEL, find)
  const connection = SlowConnection.create()
  found?.emit('connection', connection)
  return connection
}
