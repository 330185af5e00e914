/**
 * What clients may make a process hold at the same time. The heap and the memory outside it have limits of their own:
 * a full heap ends the process whatever the machine has left.
 *
 * Load pattern: thousands of clients send requests, heads or bodies at once and take no answers. What each of them may
 * send is bounded, but not their sum. What does not fit is refused before it is read, and small bodies keep room that
 * large ones cannot take.
 */

/** What is held for clients. */
export enum Holding {
  /** Requests whose answers are not written out, with their heads. */
  Request = 'request',
  /** Heads that are not complete. */
  OpenHead = 'open_head',
  /** Bodies up to `SMALL_BODY_BYTES`, and larger ones. */
  SmallBody = 'small_body',
  LargeBody = 'large_body',
  /** Bytes of answers that wait for the caller or for their own end. */
  Answer = 'answer',
  /** Bytes that follow a request on its connection before it is answered. */
  Pipelined = 'pipelined'
}

enum Memory {
  Heap = 'heap',
  Buffers = 'buffers'
}

interface Allotment {
  readonly memory: Memory
  /** Largest share of that memory. */
  readonly share: number
}

const allotments: Readonly<Record<Holding, Allotment>> = {
  [Holding.Request]: { memory: Memory.Heap, share: 1 },
  [Holding.OpenHead]: { memory: Memory.Heap, share: 0.5 },
  [Holding.SmallBody]: { memory: Memory.Buffers, share: 1 },
  [Holding.LargeBody]: { memory: Memory.Buffers, share: 0.6 },
  [Holding.Answer]: { memory: Memory.Buffers, share: 0.5 },
  [Holding.Pipelined]: { memory: Memory.Buffers, share: 0.2 }
}

const BYTES_PER_MEGABYTE = 1_048_576

/** Heap of a process that serves nobody, with a configuration of the largest size, bytes. */
const IDLE_HEAP_BYTES = 32 * BYTES_PER_MEGABYTE

/** Memory outside the heap of a process that serves nobody: code, stacks and buffers of the runtime, bytes. */
const IDLE_NATIVE_BYTES = 44 * BYTES_PER_MEGABYTE

/** The rest is for connections, calls of other instances and what is not yet collected. */
const HEAP_SHARE = 0.6
const BUFFERS_SHARE = 0.6

/** Whatever the limits, so much may be held, bytes: a few requests with bodies. */
const MIN_BYTES = 4 * BYTES_PER_MEGABYTE

/** The heap takes at most this share of the memory, where the runtime would let it grow further. */
const MAX_HEAP_SHARE = 0.6

/** Bodies up to this size are small, bytes. */
const SMALL_BODY_BYTES = 64 * 1024

/** Heap of a request in progress beside its head: exchange, attempt, sockets, timers, bytes. */
const REQUEST_BYTES = 24 * 1024

/** Heap for each byte and each line of a whole head: the texts, their copies for the attempt and the names. */
const HEAP_PER_HEAD_BYTE = 3
const HEAP_PER_HEAD_LINE = 128

/** Heap for each byte of a head that is not complete, whose lines are not counted yet: most for lines of a few bytes. */
const HEAP_PER_OPEN_HEAD_BYTE = 12

/** Limits of the process that the machine and the runtime set. */
export interface ProcessLimits {
  readonly memoryBytes: number
  readonly heapBytes: number
}

/** Bytes of the names and values of a head. */
export function headBytesOf (rawHeaders: readonly string[]): number {
  return rawHeaders.reduce((sum, text) => sum + text.length, 0)
}

/** Heap that a request takes until its answer is written out, bytes. */
export function requestBytesOf (headBytes: number, headLines: number): number {
  return REQUEST_BYTES + HEAP_PER_HEAD_BYTE * headBytes + HEAP_PER_HEAD_LINE * headLines
}

/** Heap that the first bytes of a head take, bytes. */
export function openHeadBytesOf (headBytes: number): number {
  return HEAP_PER_OPEN_HEAD_BYTE * headBytes
}

export function holdingOfBody (bytes: number): Holding {
  return bytes > SMALL_BODY_BYTES ? Holding.LargeBody : Holding.SmallBody
}

const noneHeld: Readonly<Record<Holding, number>> = { [Holding.Request]: 0, [Holding.OpenHead]: 0, [Holding.SmallBody]: 0, [Holding.LargeBody]: 0, [Holding.Answer]: 0, [Holding.Pipelined]: 0 }

export class ProcessBudget {
  private readonly held = { ...noneHeld }
  private readonly totals: Record<Memory, number> = { [Memory.Heap]: 0, [Memory.Buffers]: 0 }
  private readonly peaks = { ...noneHeld }

  private constructor (private readonly capacities: Readonly<Record<Memory, number>>) {}

  static create ({ memoryBytes, heapBytes }: ProcessLimits): ProcessBudget {
    const heap = Math.min(heapBytes, MAX_HEAP_SHARE * memoryBytes)
    return new ProcessBudget({
      [Memory.Heap]: Math.max(MIN_BYTES, HEAP_SHARE * (heap - IDLE_HEAP_BYTES)),
      [Memory.Buffers]: Math.max(MIN_BYTES, BUFFERS_SHARE * (memoryBytes - heap - IDLE_NATIVE_BYTES))
    })
  }

  /** A budget that only counts. */
  static unlimited (): ProcessBudget {
    return new ProcessBudget({ [Memory.Heap]: Infinity, [Memory.Buffers]: Infinity })
  }

  /** Bytes that are held now. */
  heldBytes (holding: Holding): number {
    return this.held[holding]
  }

  /** The most bytes that were held at the same time since the start of the process. */
  peakBytes (holding: Holding): number {
    return this.peaks[holding]
  }

  /**
   * Reserves the bytes if they fit, or if nothing else of the kind is held: a single request within the limits of callers is served.
   * @param ownBytes that the client holds of this kind already.
   */
  reserve (holding: Holding, bytes: number, ownBytes = 0): boolean {
    const { memory, share } = allotments[holding]
    const capacity = this.capacities[memory]
    const fits = this.held[holding] + bytes <= share * capacity && this.totals[memory] + bytes <= capacity
    if (!fits && this.held[holding] > ownBytes) {
      return false
    }
    this.held[holding] += bytes
    this.totals[memory] += bytes
    this.peaks[holding] = Math.max(this.peaks[holding], this.held[holding])
    return true
  }

  release (holding: Holding, bytes: number): void {
    this.held[holding] -= bytes
    this.totals[allotments[holding].memory] -= bytes
  }
}

/** What one client holds of the budget. */
export class Reservation {
  private reserved = 0
  private isEnded = false

  private constructor (private readonly budget: ProcessBudget, private holding: Holding) {}

  /** Holds nothing yet. */
  static create (budget: ProcessBudget, holding: Holding): Reservation {
    return new Reservation(budget, holding)
  }

  /** Bytes that it holds. */
  get bytes (): number {
    return this.reserved
  }

  /** Holds so many bytes from now on, if they fit; else what it held before. */
  resize (bytes: number, holding = this.holding): boolean {
    if (this.isEnded) {
      return true
    }
    const isSame = holding === this.holding
    const more = isSame ? bytes - this.reserved : bytes
    if (more > 0 && !this.budget.reserve(holding, more, isSame ? this.reserved : 0)) {
      return false
    }
    if (!isSame || more < 0) {
      this.budget.release(this.holding, isSame ? -more : this.reserved)
    }
    this.holding = holding
    this.reserved = bytes
    return true
  }

  /** May be called more than once. */
  release (): void {
    this.resize(0)
  }

  /** Holds nothing from now on, whatever is read or written late for a client that has gone. */
  end (): void {
    this.release()
    this.isEnded = true
  }
}
