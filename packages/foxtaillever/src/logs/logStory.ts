/** Lines of many instances' logs, merged by time, and what they tell of one request or of beliefs. */
import { createReadStream } from 'node:fs'
import { createInterface } from 'node:readline'
import { Either } from 'purify-ts'

export interface LogLine {
  readonly time: string
  readonly instance: string
  readonly msg: string
  readonly [field: string]: unknown
}

export interface ReadLines {
  readonly lines: readonly LogLine[]
  /** Lines that are no log lines of an instance. */
  readonly malformed: number
}

/** Lines that tell what an instance believes, by the part that they begin with. */
const BELIEF_PARTS = ['fleet:', 'process:']

/** Fields that say what a line is about anyway. */
const headFields = new Set(['level', 'time', 'instance', 'msg'])

/** Collectors put a time or a host's name before a line; the line itself is one JSON object. */
function parseLine (text: string): LogLine | undefined {
  return Either.encase(() => JSON.parse(text.slice(Math.max(0, text.indexOf('{')))) as Partial<LogLine> | null)
    .toMaybe()
    .filter(line => typeof line?.time === 'string' && typeof line.instance === 'string' && typeof line.msg === 'string')
    .extract() as LogLine | undefined
}

/** Reads only the lines that are wanted, so that logs may be larger than memory. */
export async function readLogs (files: readonly string[], isWanted: (line: LogLine) => boolean): Promise<ReadLines> {
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
  return { lines: lines.sort((one, other) => one.time.localeCompare(other.time)), malformed }
}

export function isAboutRequest (id: string): (line: LogLine) => boolean {
  return ({ request }) => request === id
}

/** @param subject part of a field's value, such as a server's id; empty for all. */
export function isBelief (subject: string): (line: LogLine) => boolean {
  return line => BELIEF_PARTS.some(part => line.msg.startsWith(part)) &&
    (subject === '' || Object.entries(line).some(([name, value]) => !headFields.has(name) && String(value).includes(subject)))
}

/** What the instances believed shortly before and while the request was there. */
export function beliefsAround (lines: readonly LogLine[], request: readonly LogLine[], beforeMs: number): readonly LogLine[] {
  const [first, last] = [request[0], request.at(-1)]
  if (!first || !last) {
    return []
  }
  const from = Date.parse(first.time) - Number(first.ms ?? 0) - beforeMs
  const instances = new Set(request.map(({ instance }) => instance))
  return lines.filter(({ time, instance }) => instances.has(instance) && Date.parse(time) >= from && time <= last.time)
}

export function formatLine (line: LogLine): string {
  const fields = Object.entries(line).filter(([name, value]) => !headFields.has(name) && value !== undefined && value !== '')
  return `${line.time}  ${line.instance}  ${line.msg} ${fields.map(([name, value]) => `${name}=${String(value)}`).join(' ')}`.trimEnd()
}

export function formatStory ({ lines, malformed }: ReadLines): string {
  const note = malformed > 0 ? [`${malformed} lines could not be read.`] : []
  return [...lines.map(formatLine), ...note, ''].join('\n')
}
