/**
 * Log lines by pino: a fixed prefix for each part, short sentences, and the
 * request and account on each line that has one. Under overload the same thing
 * goes wrong thousands of times a second; writing each time would slow down
 * what is left of the service and bury the first cause. So each sentence is
 * written a few times a second, then counted, and the count is told.
 */
import pino, { type DestinationStream, type Level, type Logger } from 'pino'
import type { Clock } from 'foxtaillever-core'
import { LineOutput } from './lineOutput.js'

/** Parts of the process, as lines begin. */
export enum Part {
  Callers = 'callers',
  Control = 'control',
  Fleet = 'fleet',
  Process = 'process',
  Requests = 'requests',
  Servers = 'servers'
}

/** What a line is about; the names are those of the fields. */
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
  /** Where lines go; standard output unless a test says otherwise. */
  readonly destination?: DestinationStream
}

/** Lines of one sentence in one window; a person reads no more. */
const LINES_PER_WINDOW = 10

/**
 * Lines about single failed requests in one window, over all sentences: whoever
 * looks for one id must find it, and 200 lines cost some milliseconds.
 */
const FAILURES_PER_WINDOW = 200

/** Length of a window, milliseconds. */
const WINDOW_MS = 1000

interface Sentence {
  written: number
  leftOut: number
}

/** Outputs of this process; one listener serves them all. */
const outputs = new Set<LineOutput>()

function flushAtExit (output: LineOutput): void {
  if (outputs.size === 0) {
    process.once('exit', () => outputs.forEach(open => open.flush()))
  }
  outputs.add(output)
}

export class Logs {
  private readonly sentences = new Map<string, Sentence>()
  private windowOpen = false
  private leftOutInAll = 0
  private failures = 0

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
    return this.leftOutInAll
  }

  /**
   * Writes a line, or counts it.
   * @param sentence the same text each time: what varies stands in the subject.
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

  /** Writes a line about a request that failed: not limited by sentence, only in all. */
  writeFailure (part: Part, sentence: string, subject: Subject): void {
    this.openWindow()
    if (this.failures >= FAILURES_PER_WINDOW) {
      this.write('warn', part, sentence, subject)
      return
    }
    this.failures += 1
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
    this.leftOutInAll += 1
    return false
  }

  private openWindow (): void {
    if (!this.windowOpen) {
      this.windowOpen = true
      this.clock.at(this.clock.now() + WINDOW_MS, () => this.closeWindow())
    }
  }

  private closeWindow (): void {
    this.windowOpen = false
    for (const [text, { leftOut }] of this.sentences) {
      if (leftOut > 0) {
        this.logger.warn({ leftOut }, `${text} (further lines left out)`)
      }
    }
    this.sentences.clear()
    this.failures = 0
    const dropped = this.output?.takeDropped() ?? 0
    if (dropped > 0) {
      this.logger.warn({ dropped }, `${Part.Process}: Lines were dropped, since standard output took them too slowly.`)
    }
  }

  /** Writes what is counted, before the process ends. */
  flush (): void {
    this.closeWindow()
    this.output?.flush()
  }
}
