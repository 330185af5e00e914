/**
 * The interface for datagrams between instances, and its UDP implementation.
 */
import { isSocketAddress } from 'foxtaillever-core'
import { createSocket, type Socket, type SocketOptions } from 'node:dgram'

export type DatagramListener = (bytes: Uint8Array) => void

/** Sends and receives whole datagrams; any of them may be lost. */
export interface Datagrams {
  /** Starts receiving. */
  open: (listener: DatagramListener) => Promise<void>
  /** @param address IP address and port. */
  send: (address: string, bytes: Uint8Array) => void
  close: () => Promise<void>
}

/** Splits an address into the host and port that a socket takes. */
export function parseAddress (address: string): { readonly host: string, readonly port: number } {
  const colon = address.lastIndexOf(':')
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) }
}

const IP_VERSION = 4

export class UdpDatagrams implements Datagrams {
  private isBound = false
  private isClosed = false
  private sendsInFlight = 0
  private onAllSent: () => void = () => {}

  private constructor (private readonly socket: Socket, private readonly host: string, private readonly port: number) {}

  /** @param address IP address and port; with port 0 the operating system chooses one. */
  static create (address: string): UdpDatagrams {
    const { host, port } = parseAddress(address)
    // Addresses are IP addresses, so no name is ever resolved.
    const lookup: SocketOptions['lookup'] = (address, _, found) => found(null, address, IP_VERSION)
    return new UdpDatagrams(createSocket({ type: 'udp4', lookup }), host, port)
  }

  /** Binds the socket before messages are handled, so that the chosen port can be announced. */
  async bind (): Promise<string> {
    if (!this.isBound) {
      this.isBound = true
      await this.bindSocket()
    }
    const { address, port } = this.socket.address()
    return `${address}:${port}`
  }

  async open (listener: DatagramListener): Promise<void> {
    this.socket.on('message', listener)
    await this.bind()
  }

  send (address: string, bytes: Uint8Array): void {
    // The socket throws for an invalid port, which would keep other receivers from their datagrams.
    if (this.isClosed || !isSocketAddress(address)) {
      return
    }
    const { host, port } = parseAddress(address)
    this.sendsInFlight += 1
    // A datagram that cannot be sent counts as lost; the next tick sends again.
    this.socket.send(bytes, port, host, () => this.recordSent())
  }

  /** Waits for datagrams in flight: the last ones announce that this instance leaves. */
  async close (): Promise<void> {
    this.isClosed = true
    if (this.sendsInFlight > 0) {
      await new Promise<void>(resolve => { this.onAllSent = resolve })
    }
    await new Promise<void>(resolve => this.socket.close(() => resolve()))
  }

  private recordSent (): void {
    this.sendsInFlight -= 1
    if (this.sendsInFlight === 0) {
      this.onAllSent()
    }
  }

  private async bindSocket (): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.socket.once('error', reject)
      this.socket.bind(this.port, this.host, () => {
        this.socket.off('error', reject)
        // A later error concerns one datagram, which then counts as lost.
        this.socket.on('error', () => {})
        resolve()
      })
    })
  }
}
