/** The listening socket of a server for callers, which can be closed for a moment. */
import type { Server } from 'node:http'
import { Server as NetServer, type AddressInfo } from 'node:net'

/** Most connections that wait until they are accepted: the default of node:net. */
export const QUEUE_LENGTH = 511

export class ListeningSocket {
  /** Undefined before the socket is opened, and after it was closed for good. */
  private address: AddressInfo | undefined

  private constructor (private readonly server: Server, private readonly onError: (reason: string) => void) {}

  /** @param onError called if the socket cannot be opened again. */
  static create (server: Server, onError: (reason: string) => void): ListeningSocket {
    return new ListeningSocket(server, onError)
  }

  /** Resolves with the port. */
  async open (host: string, port: number): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(port, host, QUEUE_LENGTH, resolve)
    })
    this.server.on('error', error => this.onError(String(error)))
    // node:http starts its check for slow heads again with each opening, and would never come to it.
    this.server.removeAllListeners('listening')
    this.address = this.server.address() as AddressInfo
    return this.address.port
  }

  /** Whether the socket is open, or closed for a moment only. */
  get isOpen (): boolean {
    return this.address !== undefined
  }

  /** Resets connections that are not accepted yet, and refuses new ones. */
  pause (): void {
    // Not the close of node:http, which destroys connections whose answer has ended but is not written out.
    NetServer.prototype.close.call(this.server)
  }

  /** Returns whether the socket was closed for a moment. */
  resume (): boolean {
    if (!this.address || this.server.listening) {
      return false
    }
    this.server.listen(this.address.port, this.address.address, QUEUE_LENGTH)
    return true
  }

  close (): void {
    this.address = undefined
    this.pause()
  }
}
