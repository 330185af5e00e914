/** Reads the logs of many instances, merges their lines by time, and selects lines about a request or about state changes. */
import { createReadStream } from 'node:fs'
import { createInterface } from 'node:readline'
import { Either } from 'purify-ts'

export interface LogLine {
  readonly time: string
  readonly instance: string
  readonly msg: string
  readonly [field: string]: unknown
}

export interface MergedLog {
  readonly lines: readonly LogLine[]
  /** Number of lines that are not log lines of an instance. */
  readonly malformed: number
}

/** Prefixes of the messages that report a state change of an instance. */
const STATE_CHANGE_PREFIXES = ['fleet:', 'process:']

/** Fields that every line has; they are printed first or not at all. */
const commonFields = new Set(['level', 'time', 'instance', 'msg'])

/** Skips the time or host name that a log collector may write before the line's JSON object. */
function parseLine (text: string): LogLine | undefined {
  return Either.encase(() => JSON.parse(text.slice(Math.max(0, text.indexOf('{')))) as Partial<LogLine> | null)
    .toMaybe()
    .filter(line => typeof line?.time === 'string' && typeof line.instance === 'string' && typeof line.msg === 'string')
    .extract() as LogLine | undefined
}

/** Keeps only the wanted lines in memory, so that logs may be larger than memory. */
export async function readLogs (files: readonly string[], isWanted: (line: LogLine) => boolean): Promise<MergedLog> {
  const lines: LogLine[] = []
  let malformed = 0
  for (const file of files) {
    for await (const text of createInterface({ input: createReadStream(file) })) {
      const line = parseLine(text)
      if (line === undefined) {
        malformed += text.trim() === '' ? 0 : 1
      } else if (isWanted(line)) {
        lines.push(line)
      }
    }
  }
  return { lines: lines.sort((a, b) => a.time.localeCompare(b.time)), malformed }
}

export function isAboutRequest (id: string): (line: LogLine) => boolean {
  return ({ request }) => request === id
}

/** @param subject text that a field must contain, such as a server's id; empty for all state changes. */
export function isStateChange (subject: string): (line: LogLine) => boolean {
  return line => STATE_CHANGE_PREFIXES.some(prefix => line.msg.startsWith(prefix)) &&
    (subject === '' || Object.entries(line).some(([name, value]) => !commonFields.has(name) && String(value).includes(subject)))
}

/** Selects the lines of the request's instances from `beforeMs` before its arrival to its last line. */
export function selectStateChangesAround (lines: readonly LogLine[], request: readonly LogLine[], beforeMs: number): readonly LogLine[] {
  const [first, last] = [request[0], request.at(-1)]
  if (!first || !last) {
    return []
  }
  const from = Date.parse(first.time) - Number(first.ms ?? 0) - beforeMs
  const instances = new Set(request.map(({ instance }) => instance))
  return lines.filter(({ time, instance }) => instances.has(instance) && Date.parse(time) >= from && time <= last.time)
}

export function formatLine (line: LogLine): string {
  const fields = Object.entries(line).filter(([name, value]) => !commonFields.has(name) && value !== undefined && value !== '')
  return `${line.time}  ${line.instance}  ${line.msg} ${fields.map(([name, value]) => `${name}=${String(value)}`).join(' ')}`.trimEnd()
}

export function formatLog ({ lines, malformed }: MergedLog): string {
  const note = malformed > 0 ? [`${malformed} lines could not be read.`] : []
  return [...lines.map(formatLine), ...note, ''].join('\n')
}
