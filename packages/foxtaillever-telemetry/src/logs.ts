/**
 * Log lines by pino: a fixed prefix for each part of the process, a short
 * sentence, and the request and account where there is one. Under overload the
 * same error occurs thousands of times a second; a line for each would slow down
 * the requests that still work and bury the first cause. So each sentence is
 * written a few times a second; further lines are only counted, and a last line
 * reports the count.
 */
import pino, { type DestinationStream, type Level, type Logger } from 'pino'
import type { Clock } from 'foxtaillever-core'
import { LineOutput } from './lineOutput.js'

/** Parts of the process; each log line starts with the name of its part. */
export enum Part {
  Callers = 'callers',
  Control = 'control',
  Fleet = 'fleet',
  Process = 'process',
  Requests = 'requests',
  Servers = 'servers'
}

/** What a line is about; each property is a field of the log line. */
export interface Subject {
  readonly request?: string
  readonly account?: string
  readonly server?: string
  readonly model?: string
  readonly rule?: string
  readonly verdict?: string
  readonly code?: string
  readonly operator?: string
  readonly revision?: number
  readonly [field: string]: string | number | undefined
}

export interface LogsOptions {
  readonly instance: string
  readonly level: string
  readonly clock: Clock
  /** Where lines are written; standard output unless a test sets another. */
  readonly destination?: DestinationStream
}

/** Most lines with one sentence in a window; a person reads no more. */
const LINES_PER_WINDOW = 10

/**
 * Most lines about single failed requests in a window, over all sentences. An
 * operator who searches for a request id must find it; 200 lines cost a few
 * milliseconds.
 */
const FAILURES_PER_WINDOW = 200

/** Length of a window, milliseconds. */
const WINDOW_MS = 1000

interface SentenceCounts {
  written: number
  leftOut: number
}

/** Outputs of this process; one exit listener flushes them all. */
const outputs = new Set<LineOutput>()

function flushAtExit (output: LineOutput): void {
  if (outputs.size === 0) {
    process.once('exit', () => outputs.forEach(open => open.flush()))
  }
  outputs.add(output)
}

export class Logs {
  private readonly sentences = new Map<string, SentenceCounts>()
  private isWindowOpen = false
  private totalLeftOut = 0
  private failureLines = 0

  private constructor (private readonly logger: Logger, private readonly clock: Clock, private readonly output: LineOutput | undefined) {}

  static create ({ instance, level, clock, destination }: LogsOptions): Logs {
    const options = { level, base: { instance }, timestamp: pino.stdTimeFunctions.isoTime }
    if (destination) {
      return new Logs(pino(options, destination), clock, undefined)
    }
    const output = LineOutput.create(clock)
    flushAtExit(output)
    return new Logs(pino(options, output), clock, output)
  }

  /** Lines left out since the start. */
  leftOut (): number {
    return this.totalLeftOut
  }

  /**
   * Writes a line, or only counts it.
   * @param sentence a fixed text; everything that varies belongs in the subject.
   */
  write (level: Level, part: Part, sentence: string, subject: Subject = {}): void {
    if (!this.logger.isLevelEnabled(level)) {
      return
    }
    const text = `${part}: ${sentence}`
    if (this.mayWrite(text)) {
      this.logger[level](subject, text)
    }
  }

  /** Writes a line about a failed request; limited over all sentences instead of by sentence. */
  writeFailure (part: Part, sentence: string, subject: Subject): void {
    this.openWindow()
    if (this.failureLines >= FAILURES_PER_WINDOW) {
      this.write('warn', part, sentence, subject)
      return
    }
    this.failureLines += 1
    this.logger.warn(subject, `${part}: ${sentence}`)
  }

  private mayWrite (text: string): boolean {
    this.openWindow()
    const sentence = this.sentences.get(text) ?? { written: 0, leftOut: 0 }
    this.sentences.set(text, sentence)
    if (sentence.written < LINES_PER_WINDOW) {
      sentence.written += 1
      return true
    }
    sentence.leftOut += 1
    this.totalLeftOut += 1
    return false
  }

  private openWindow (): void {
    if (!this.isWindowOpen) {
      this.isWindowOpen = true
      this.clock.at(this.clock.now() + WINDOW_MS, () => this.closeWindow())
    }
  }

  private closeWindow (): void {
    this.isWindowOpen = false
    for (const [text, { leftOut }] of this.sentences) {
      if (leftOut > 0) {
        this.logger.warn({ leftOut }, `${text} (further lines left out)`)
      }
    }
    this.sentences.clear()
    this.failureLines = 0
    const dropped = this.output?.takeDroppedCount() ?? 0
    if (dropped > 0) {
      this.logger.warn({ dropped }, `${Part.Process}: Dropped log lines, since standard output is too slow.`)
    }
  }

  /** Writes counts and waiting lines, before the process exits. */
  flush (): void {
    this.closeWindow()
    this.output?.flush()
  }
}
