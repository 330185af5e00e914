/**
 * Counts what the merged logs of many instances report for each second of a day:
 * how requests ended, how long they took, failed attempts at backend servers, and
 * state changes of the instances. An instance writes at most ten lines with the
 * same message a second, then one line with the number that it left out. Both are
 * counted, so request counts are complete; durations cover only written lines.
 */
import { isStateChange, type LogLine } from './readLogs.js'

/** How a request ended, in the words of the report. */
export enum RequestEnd {
  Answered = 'answered',
  Failed = 'failed',
  Refused = 'refused on arrival',
  CallerGone = 'caller left'
}

const endByMessage: Readonly<Record<string, RequestEnd>> = {
  'requests: Ended: answered.': RequestEnd.Answered,
  'requests: Ended: failed.': RequestEnd.Failed,
  'requests: Ended: caller-gone.': RequestEnd.CallerGone,
  'callers: Refused a request.': RequestEnd.Refused
}

const FAILED_ATTEMPT = 'requests: A try failed.'
const LEFT_OUT_SUFFIX = ' (further lines left out)'

/** A logged change of what instances hold as state (configuration, server states, leases), with the number of lines that report it in one second. */
export interface StateChange {
  readonly second: number
  readonly text: string
  instanceCount: number
}

export interface SecondCounts {
  readonly ends: Record<RequestEnd, number>
  readonly failedAttempts: Map<string, number>
  /** Durations of answered requests whose lines were written, milliseconds. */
  readonly times: number[]
}

function createSecondCounts (): SecondCounts {
  return { ends: { [RequestEnd.Answered]: 0, [RequestEnd.Failed]: 0, [RequestEnd.Refused]: 0, [RequestEnd.CallerGone]: 0 }, failedAttempts: new Map(), times: [] }
}

function increaseCount<Key> (counts: Map<Key, number>, key: Key, count: number): void {
  counts.set(key, (counts.get(key) ?? 0) + count)
}

/** Fields that distinguish state changes. Servers and times are left out, or no two lines would be counted together. */
const distinguishingFields = ['revision', 'model', 'version', 'fence', 'state', 'topic', 'reason', 'code'] as const

function describeStateChange (line: LogLine): string {
  const fields = distinguishingFields.flatMap(name => line[name] === undefined ? [] : [`${name}=${String(line[name])}`])
  return [line.msg.replace(/^\w+: /, ''), ...fields].join(' ')
}

export class DayCounts {
  readonly seconds = new Map<number, SecondCounts>()
  /** Why requests were not served, by code or outcome. */
  readonly reasons = new Map<string, number>()
  private readonly stateChanges = new Map<string, StateChange>()
  private startMs: number | undefined

  private constructor () {}

  static create (): DayCounts {
    return new DayCounts()
  }

  /** @param lines in the order of their times. */
  static of (lines: readonly LogLine[]): DayCounts {
    const counts = DayCounts.create()
    lines.forEach(line => counts.addLine(line))
    return counts
  }

  /** When the first line was written, milliseconds of Unix time. */
  get startedAt (): number {
    return this.startMs ?? 0
  }

  /** Returns the state changes in order of time. */
  listStateChanges (): readonly StateChange[] {
    return [...this.stateChanges.values()]
  }

  addLine (line: LogLine): void {
    const at = Date.parse(line.time)
    this.startMs ??= at
    const second = Math.max(0, Math.floor((at - this.startMs) / 1000))
    const isLeftOutCount = line.msg.endsWith(LEFT_OUT_SUFFIX)
    const message = isLeftOutCount ? line.msg.slice(0, -LEFT_OUT_SUFFIX.length) : line.msg
    const count = isLeftOutCount ? Number(line.leftOut) || 0 : 1
    const end = endByMessage[message]
    if (end !== undefined) {
      this.addRequestEnd(second, end, count, line)
    } else if (message === FAILED_ATTEMPT) {
      increaseCount(this.getOrCreateSecond(second).failedAttempts, String(line.kind ?? 'unknown'), count)
    } else if (!isLeftOutCount && isStateChange('')(line)) {
      this.addStateChange(second, describeStateChange(line))
    }
  }

  private addRequestEnd (second: number, end: RequestEnd, count: number, line: LogLine): void {
    const { ends, times } = this.getOrCreateSecond(second)
    ends[end] += count
    if (end === RequestEnd.Answered && typeof line.ms === 'number') {
      times.push(line.ms)
    }
    if (end === RequestEnd.Failed || end === RequestEnd.Refused) {
      increaseCount(this.reasons, String(line.code ?? line.outcome ?? 'not written'), count)
    }
  }

  private addStateChange (second: number, text: string): void {
    const key = `${second} ${text}`
    const existing = this.stateChanges.get(key)
    if (existing) {
      existing.instanceCount += 1
    } else {
      this.stateChanges.set(key, { second, text, instanceCount: 1 })
    }
  }

  private getOrCreateSecond (second: number): SecondCounts {
    let counts = this.seconds.get(second)
    if (!counts) {
      counts = createSecondCounts()
      this.seconds.set(second, counts)
    }
    return counts
  }
}
