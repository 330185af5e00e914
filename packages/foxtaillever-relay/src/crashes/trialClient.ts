/** Asks the instances that decide on suspected levels whether a request with them may be sent now. */
import { atAfterSilence, type Cancellation, type Clock } from 'foxtaillever-core'
import { DatagramKind } from '../peers/datagram.js'
import { firstRequestNumber } from '../peers/firstRequestNumber.js'
import type { TrialRequest, TrialResponse } from './crashMessage.js'

/** Wait for a response, milliseconds: a datagram travels two at most, a busy event loop delays it by tens. */
const RESPONSE_TIMEOUT_MS = 60

/** Instances that are asked, one after the other, until one answers. */
const MAX_ASKED = 3

export interface TrialClientOptions {
  readonly clock: Clock
  readonly address: () => string
  /** Addresses of the instances that decide, the one that grants trials first. */
  readonly decidersOf: (service: string) => readonly string[]
  readonly send: (address: string, message: TrialRequest) => void
}

interface PendingTrial {
  readonly request: Omit<TrialRequest, 'number'>
  remaining: readonly string[]
  readonly onDecided: (isGranted: boolean) => void
  cancel: Cancellation
}

export class TrialClient {
  private readonly pending = new Map<number, PendingTrial>()
  private nextNumber: number

  private constructor (private readonly options: TrialClientOptions) {
    this.nextNumber = firstRequestNumber(options.clock)
  }

  static create (options: TrialClientOptions): TrialClient {
    return new TrialClient(options)
  }

  /** Calls back with `false` if no instance answers. */
  ask (service: string, levels: readonly string[], onDecided: (isGranted: boolean) => void): void {
    const { address, decidersOf } = this.options
    const request: PendingTrial['request'] = { kind: DatagramKind.TrialRequest, address: address(), service, levels }
    const number = this.nextNumber++
    const pending: PendingTrial = { request, remaining: decidersOf(service).slice(0, MAX_ASKED), onDecided, cancel: () => {} }
    this.pending.set(number, pending)
    this.askNext(number, pending)
  }

  receive ({ number, isGranted }: TrialResponse): void {
    this.complete(number, isGranted)
  }

  stop (): void {
    this.pending.forEach(({ cancel }) => cancel())
  }

  private askNext (number: number, pending: PendingTrial): void {
    const { clock, send } = this.options
    const [next, ...remaining] = pending.remaining
    if (next === undefined) {
      this.complete(number, false)
      return
    }
    pending.remaining = remaining
    pending.cancel = atAfterSilence(clock, clock.now() + RESPONSE_TIMEOUT_MS, () => this.askNext(number, pending))
    send(next, { ...pending.request, number })
  }

  private complete (number: number, isGranted: boolean): void {
    const pending = this.pending.get(number)
    this.pending.delete(number)
    pending?.cancel()
    pending?.onDecided(isGranted)
  }
}
