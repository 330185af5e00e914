/**
 * Simulated datagrams within one process: each has a latency and may be lost;
 * members can be partitioned, and sent datagrams are recorded for replay.
 */
import type { Clock, Random } from 'foxtaillever-core'
import type { DatagramListener, Datagrams } from '../datagrams.js'

/** One-way latency, milliseconds. */
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

  /** Drops all datagrams between the addresses that the rule matches. */
  partition (isCut: (from: string, to: string) => boolean): void {
    this.isCut = isCut
  }

  heal (): void {
    this.isCut = () => false
  }

  isReachable (from: string, to: string): boolean {
    return this.listeners.has(to) && !this.isCut(from, to)
  }

  /** Delivers bytes to an address as if they came over the network. */
  inject (to: string, bytes: Uint8Array): void {
    this.listeners.get(to)?.(bytes)
  }

  datagrams (address: string): Datagrams {
    return {
      open: async listener => { this.listeners.set(address, listener) },
      send: (to, bytes) => this.deliver({ from: address, to, bytes }),
      close: async () => { this.listeners.delete(address) }
    }
  }

  private deliver (datagram: SentDatagram): void {
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
