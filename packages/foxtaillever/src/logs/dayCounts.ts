/**
 * What the logs of many instances say about a day, second by second: requests by
 * how they ended, how long they took, what servers did wrong, and what the
 * instances came to believe. Instances write ten lines of a sentence a second
 * and the number of those that they left out; both count here, so the load is
 * whole, while times are those of the lines that were written.
 */
import { isBelief, type LogLine } from './logStory.js'

/** How a request ended, as the report tells it. */
export enum RequestEnd {
  Answered = 'answered',
  Failed = 'failed',
  Refused = 'refused on arrival',
  CallerGone = 'caller left'
}

const endOfSentence: Readonly<Record<string, RequestEnd>> = {
  'requests: Ended: answered.': RequestEnd.Answered,
  'requests: Ended: failed.': RequestEnd.Failed,
  'requests: Ended: caller-gone.': RequestEnd.CallerGone,
  'callers: Refused a request.': RequestEnd.Refused
}

const FAILED_TRY = 'requests: A try failed.'
const LEFT_OUT = ' (further lines left out)'

/** A sentence about a belief, with how many instances wrote it in a second. */
export interface Belief {
  readonly second: number
  readonly text: string
  instances: number
}

export interface Second {
  readonly ends: Record<RequestEnd, number>
  readonly failedTries: Map<string, number>
  /** Of the requests whose lines were written, milliseconds. */
  readonly times: number[]
}

function createSecond (): Second {
  return { ends: { [RequestEnd.Answered]: 0, [RequestEnd.Failed]: 0, [RequestEnd.Refused]: 0, [RequestEnd.CallerGone]: 0 }, failedTries: new Map(), times: [] }
}

function add<Key> (counts: Map<Key, number>, key: Key, count: number): void {
  counts.set(key, (counts.get(key) ?? 0) + count)
}

/** Fields that make a belief another one; servers and times are left out, or each line would be its own. */
const tellingFields = ['revision', 'model', 'version', 'fence', 'state', 'topic', 'reason', 'code'] as const

function describeBelief (line: LogLine): string {
  const fields = tellingFields.flatMap(name => line[name] === undefined ? [] : [`${name}=${String(line[name])}`])
  return [line.msg.replace(/^\w+: /, ''), ...fields].join(' ')
}

export class DayCounts {
  readonly seconds = new Map<number, Second>()
  /** Why requests were not served, by code or outcome. */
  readonly reasons = new Map<string, number>()
  private readonly beliefs = new Map<string, Belief>()
  private startMs: number | undefined

  private constructor () {}

  static create (): DayCounts {
    return new DayCounts()
  }

  /** @param lines in the order of their times. */
  static of (lines: readonly LogLine[]): DayCounts {
    const counts = DayCounts.create()
    lines.forEach(line => counts.take(line))
    return counts
  }

  /** When the first line was written, milliseconds of Unix time. */
  get startedAt (): number {
    return this.startMs ?? 0
  }

  /** In the order of time. */
  allBeliefs (): readonly Belief[] {
    return [...this.beliefs.values()]
  }

  take (line: LogLine): void {
    const at = Date.parse(line.time)
    this.startMs ??= at
    const second = Math.max(0, Math.floor((at - this.startMs) / 1000))
    const isCount = line.msg.endsWith(LEFT_OUT)
    const sentence = isCount ? line.msg.slice(0, -LEFT_OUT.length) : line.msg
    const count = isCount ? Number(line.leftOut) || 0 : 1
    const end = endOfSentence[sentence]
    if (end !== undefined) {
      this.takeEnd(second, end, count, line)
    } else if (sentence === FAILED_TRY) {
      add(this.secondAt(second).failedTries, String(line.kind ?? 'unknown'), count)
    } else if (!isCount && isBelief('')(line)) {
      this.takeBelief(second, describeBelief(line))
    }
  }

  private takeEnd (second: number, end: RequestEnd, count: number, line: LogLine): void {
    const { ends, times } = this.secondAt(second)
    ends[end] += count
    if (end === RequestEnd.Answered && typeof line.ms === 'number') {
      times.push(line.ms)
    }
    if (end === RequestEnd.Failed || end === RequestEnd.Refused) {
      add(this.reasons, String(line.code ?? line.outcome ?? 'not written'), count)
    }
  }

  private takeBelief (second: number, text: string): void {
    const key = `${second} ${text}`
    const known = this.beliefs.get(key)
    if (known) {
      known.instances += 1
    } else {
      this.beliefs.set(key, { second, text, instances: 1 })
    }
  }

  private secondAt (second: number): Second {
    let counted = this.seconds.get(second)
    if (!counted) {
      counted = createSecond()
      this.seconds.set(second, counted)
    }
    return counted
  }
}
