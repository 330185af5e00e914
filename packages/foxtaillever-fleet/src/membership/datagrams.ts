/**
 * The narrow interface to datagrams between instances, and its UDP side.
 */
import { createSocket, type Socket, type SocketOptions } from 'node:dgram'

export type DatagramListener = (bytes: Uint8Array) => void

/** Sends and receives whole datagrams; any of them may be lost. */
export interface Datagrams {
  /** Starts to receive. */
  open: (listener: DatagramListener) => Promise<void>
  /** @param address IP number and port. */
  send: (address: string, bytes: Uint8Array) => void
  close: () => Promise<void>
}

/** An address as the socket wants it. */
export function parseAddress (address: string): { readonly host: string, readonly port: number } {
  const colon = address.lastIndexOf(':')
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) }
}

const IP_VERSION = 4

export class UdpDatagrams implements Datagrams {
  private bound = false
  private closed = false
  private sending = 0
  private sent: () => void = () => {}

  private constructor (private readonly socket: Socket, private readonly host: string, private readonly port: number) {}

  /** @param address IP number and port; port 0 lets the system choose. */
  static create (address: string): UdpDatagrams {
    const { host, port } = parseAddress(address)
    // Addresses are IP numbers, so nothing is ever looked up.
    const lookup: SocketOptions['lookup'] = (number, _, found) => found(null, number, IP_VERSION)
    return new UdpDatagrams(createSocket({ type: 'udp4', lookup }), host, port)
  }

  /** Takes the port before anyone listens, so that its number can be told. */
  async bind (): Promise<string> {
    if (!this.bound) {
      this.bound = true
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
    if (this.closed) {
      return
    }
    const { host, port } = parseAddress(address)
    this.sending += 1
    // A datagram that cannot be sent is as good as lost; the next tick sends again.
    this.socket.send(bytes, port, host, () => this.noteSent())
  }

  /** Waits for what is being sent: the last of it says that this instance leaves. */
  async close (): Promise<void> {
    this.closed = true
    if (this.sending > 0) {
      await new Promise<void>(resolve => { this.sent = resolve })
    }
    await new Promise<void>(resolve => this.socket.close(() => resolve()))
  }

  private noteSent (): void {
    this.sending -= 1
    if (this.sending === 0) {
      this.sent()
    }
  }

  private async bindSocket (): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.socket.once('error', reject)
      this.socket.bind(this.port, this.host, () => {
        this.socket.off('error', reject)
        // A later error concerns one datagram, which then is as good as lost.
        this.socket.on('error', () => {})
        resolve()
      })
    })
  }
}
