/** A backend server that reads one prompt at a time, in order of arrival, and then runs the request for a while. */
import { hashNumber, type Clock } from 'foxtaillever-core'

/** Capacity of the deployment with scarce engines, with fewer slots so that these run out too. */
export const capacity = { tokensPerMs: 38.7, memoryTokens: 91_225, slots: 12, readAheadMs: 102 }

export interface SimulatedServerOptions<Request> {
  readonly clock: Clock
  readonly name: string
  /** From its first event to its end a request occupies a slot and memory, milliseconds. */
  readonly runMs: () => number
  readonly onRead: (request: Request) => void
  readonly onEnd: (request: Request) => void
}

export class SimulatedServer<Request extends { readonly tokens: number }> {
  readonly hash: number
  /** Whether instances know it and may send to it. */
  isReady = true
  readonly running = new Set<Request>()
  private readonly waiting: Request[] = []
  private isReading = true
  private isBusy = false

  private constructor (private readonly options: SimulatedServerOptions<Request>) {
    this.hash = hashNumber(options.name)
  }

  static create<Request extends { readonly tokens: number }> (options: SimulatedServerOptions<Request>): SimulatedServer<Request> {
    return new SimulatedServer(options)
  }

  get name (): string {
    return this.options.name
  }

  accept (request: Request): void {
    this.running.add(request)
    this.waiting.push(request)
    this.readNext()
  }

  /** Its connection was closed. */
  remove (request: Request): void {
    this.running.delete(request)
  }

  /** The prompt that it reads now is still finished. */
  stopReading (): void {
    this.isReading = false
  }

  resumeReading (): void {
    this.isReading = true
    this.readNext()
  }

  private readNext (): void {
    if (this.isBusy || !this.isReading) {
      return
    }
    const next = this.waiting.shift()
    if (next === undefined) {
      return
    }
    if (!this.running.has(next)) {
      this.readNext()
      return
    }
    const { clock, runMs, onRead, onEnd } = this.options
    this.isBusy = true
    clock.at(clock.now() + next.tokens / capacity.tokensPerMs, () => {
      this.isBusy = false
      onRead(next)
      clock.at(clock.now() + runMs(), () => onEnd(next))
      this.readNext()
    })
  }
}
