/**
 * Lines on their way to standard output. A reader that is slow or stands still
 * must not hold up requests, so lines are gathered, written by one call at a
 * time that nobody waits for, and dropped when too many wait. What went wrong is
 * dropped last: half of the room is kept for it.
 */
import { write as writeFile, writeSync } from 'node:fs'
import type { Cancellation, Clock } from 'foxtaillever-core'

/** One write for the lines of this time costs a tenth of a write for each, milliseconds. */
const GATHER_MS = 50

/** A reader that takes nothing is tried again after this, milliseconds. */
const AGAIN_MS = 100

/** Characters that may wait: some seconds of a fault under full load, and little against a process's memory. */
const MOST_WAITING = 1_000_000

/** Lines of this level and above tell what went wrong; pino's number for warnings. */
const FAILURE_LEVEL = 40

const STANDARD_OUTPUT = 1

/** A stream with this property is told the level of each line before the line. */
const PINO_METADATA: unique symbol = Symbol.for('pino.metadata')

/** Writes bytes; the callback gets how many were taken, 0 when the reader takes none. */
export type WriteBytes = (bytes: Buffer, done: (taken: number) => void) => void

function writeStandardOutput (bytes: Buffer, done: (taken: number) => void): void {
  // Any error means that the reader takes nothing now; the lines wait, or are dropped and counted.
  writeFile(STANDARD_OUTPUT, bytes, (error, taken) => done(error ? 0 : taken))
}

export class LineOutput {
  readonly [PINO_METADATA] = true
  lastLevel = 0
  private waiting: string[] = []
  private length = 0
  /** Bytes that the last write left over. */
  private rest: Buffer = Buffer.alloc(0)
  private isWriting = false
  private cancelNext: Cancellation | undefined
  private dropped = 0

  private constructor (private readonly clock: Clock, private readonly writeBytes: WriteBytes) {}

  static create (clock: Clock, writeBytes: WriteBytes = writeStandardOutput): LineOutput {
    return new LineOutput(clock, writeBytes)
  }

  write (line: string): void {
    const room = this.lastLevel >= FAILURE_LEVEL ? MOST_WAITING : MOST_WAITING / 2
    if (this.length + line.length > room) {
      this.dropped += 1
      return
    }
    this.waiting.push(line)
    this.length += line.length
    this.plan(GATHER_MS)
  }

  /** Lines dropped since this was last asked. */
  takeDropped (): number {
    const { dropped } = this
    this.dropped = 0
    return dropped
  }

  /** Writes at once what waits, before the process ends; a reader that takes nothing loses it. */
  flush (): void {
    const bytes = this.take()
    try {
      writeSync(STANDARD_OUTPUT, bytes)
    } catch {
      // The process ends and standard output takes nothing: there is nobody left to tell.
    }
  }

  private take (): Buffer {
    const bytes = Buffer.concat([this.rest, Buffer.from(this.waiting.join(''))])
    this.rest = Buffer.alloc(0)
    this.waiting = []
    this.length = 0
    return bytes
  }

  private plan (waitMs: number): void {
    if (!this.isWriting && !this.cancelNext) {
      this.cancelNext = this.clock.at(this.clock.now() + waitMs, () => this.writeNext())
    }
  }

  private writeNext (): void {
    this.cancelNext = undefined
    const bytes = this.take()
    this.isWriting = true
    this.writeBytes(bytes, taken => {
      this.isWriting = false
      this.rest = bytes.subarray(taken)
      this.length += this.rest.length
      if (this.rest.length > 0 || this.waiting.length > 0) {
        this.plan(taken === 0 ? AGAIN_MS : GATHER_MS)
      }
    })
  }
}
