/**
 * Writes lines to standard output. A reader that is slow or paused must not
 * delay requests, so lines are batched, written by one asynchronous call at a
 * time, and dropped when too many wait. Lines about failures are dropped last:
 * half of the buffer is reserved for them.
 */
import { write as writeFile, writeSync } from 'node:fs'
import type { Cancellation, Clock } from 'foxtaillever-core'

/** Lines of this time are written together, milliseconds: that costs a tenth of one write per line. */
const BATCH_INTERVAL_MS = 50

/** Wait before the next write when the reader accepts nothing, milliseconds. */
const RETRY_INTERVAL_MS = 100

/** Most characters that may wait: enough for some seconds of a fault under full load, and little of a process's memory. */
const MAX_WAITING_CHARACTERS = 1_000_000

/** Lines of this level and above report failures; pino's number for warnings. */
const FAILURE_LEVEL = 40

const STANDARD_OUTPUT = 1

/** On a stream with this property, pino sets `lastLevel` before it writes each line. */
const PINO_METADATA: unique symbol = Symbol.for('pino.metadata')

/** Writes bytes; the callback gets the number of bytes accepted, 0 when the reader accepts none. */
export type WriteBytes = (bytes: Buffer, done: (taken: number) => void) => void

function writeStandardOutput (bytes: Buffer, done: (taken: number) => void): void {
  // Any error means that the reader accepts nothing now; the lines wait, or are dropped and counted.
  writeFile(STANDARD_OUTPUT, bytes, (error, taken) => done(error ? 0 : taken))
}

export class LineOutput {
  readonly [PINO_METADATA] = true
  lastLevel = 0
  private waiting: string[] = []
  private waitingLength = 0
  /** Bytes that the last write did not accept. */
  private remainder: Buffer = Buffer.alloc(0)
  private isWriting = false
  private cancelScheduledWrite: Cancellation | undefined
  private dropped = 0

  private constructor (private readonly clock: Clock, private readonly writeBytes: WriteBytes) {}

  static create (clock: Clock, writeBytes: WriteBytes = writeStandardOutput): LineOutput {
    return new LineOutput(clock, writeBytes)
  }

  write (line: string): void {
    const capacity = this.lastLevel >= FAILURE_LEVEL ? MAX_WAITING_CHARACTERS : MAX_WAITING_CHARACTERS / 2
    if (this.waitingLength + line.length > capacity) {
      this.dropped += 1
      return
    }
    this.waiting.push(line)
    this.waitingLength += line.length
    this.scheduleWrite(BATCH_INTERVAL_MS)
  }

  /** Returns the number of lines dropped since the last call. */
  takeDroppedCount (): number {
    const { dropped } = this
    this.dropped = 0
    return dropped
  }

  /** Writes all waiting lines synchronously, before the process exits; they are lost if the reader accepts nothing. */
  flush (): void {
    const bytes = this.takeWaitingBytes()
    try {
      writeSync(STANDARD_OUTPUT, bytes)
    } catch {
      // The process exits and standard output accepts nothing, so the error cannot be reported.
    }
  }

  private takeWaitingBytes (): Buffer {
    const bytes = Buffer.concat([this.remainder, Buffer.from(this.waiting.join(''))])
    this.remainder = Buffer.alloc(0)
    this.waiting = []
    this.waitingLength = 0
    return bytes
  }

  private scheduleWrite (waitMs: number): void {
    if (!this.isWriting && !this.cancelScheduledWrite) {
      this.cancelScheduledWrite = this.clock.at(this.clock.now() + waitMs, () => this.writeNext())
    }
  }

  private writeNext (): void {
    this.cancelScheduledWrite = undefined
    const bytes = this.takeWaitingBytes()
    this.isWriting = true
    this.writeBytes(bytes, taken => {
      this.isWriting = false
      this.remainder = bytes.subarray(taken)
      this.waitingLength += this.remainder.length
      if (this.remainder.length > 0 || this.waiting.length > 0) {
        this.scheduleWrite(taken === 0 ? RETRY_INTERVAL_MS : BATCH_INTERVAL_MS)
      }
    })
  }
}
