/**
 * Datagrams within one process: each takes a while, may be lost, and can be cut
 * off between members, or kept for sending again.
 */
import type { Clock, Random } from 'foxtaillever-core'
import type { DatagramListener, Datagrams } from '../datagrams.js'

/** One way, milliseconds. */
const LATENCY_MS = 2

export interface SentDatagram {
  readonly from: string
  readonly to: string
  readonly bytes: Uint8Array
}

export class FakeNetwork {
  readonly sent: SentDatagram[] = []
  private readonly listeners = new Map<string, DatagramListener>()
  private isCut: (from: string, to: string) => boolean = () => false

  private constructor (private readonly clock: Clock, private readonly random: Random, private readonly lossShare: number) {}

  static create (clock: Clock, random: Random, lossShare = 0): FakeNetwork {
    return new FakeNetwork(clock, random, lossShare)
  }

  /** Loses everything between the addresses that the rule names. */
  cut (isCut: (from: string, to: string) => boolean): void {
    this.isCut = isCut
  }

  heal (): void {
    this.isCut = () => false
  }

  isReachable (from: string, to: string): boolean {
    return this.listeners.has(to) && !this.isCut(from, to)
  }

  /** Hands bytes to an address as if they came over the network. */
  inject (to: string, bytes: Uint8Array): void {
    this.listeners.get(to)?.(bytes)
  }

  datagrams (address: string): Datagrams {
    return {
      open: async listener => { this.listeners.set(address, listener) },
      send: (to, bytes) => this.carry({ from: address, to, bytes }),
      close: async () => { this.listeners.delete(address) }
    }
  }

  private carry (datagram: SentDatagram): void {
    this.sent.push(datagram)
    if (this.random.next() < this.lossShare) {
      return
    }
    this.clock.at(this.clock.now() + LATENCY_MS, () => {
      if (!this.isCut(datagram.from, datagram.to)) {
        this.inject(datagram.to, datagram.bytes)
      }
    })
  }
}
