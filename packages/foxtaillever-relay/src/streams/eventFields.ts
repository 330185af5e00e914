/** Parses the fields of one complete event of a stream. */

export interface EventFields {
  /** Empty for an event without a type. */
  readonly type: string
  readonly id: string
  readonly data: string
}

const LINE_END = /\r?\n/

/** Splits a line at its first colon; one space after the colon is dropped. */
function readLine (line: string): readonly [name: string, value: string] {
  const colon = line.indexOf(':')
  return colon === -1 ? [line, ''] : [line.slice(0, colon), line.slice(line[colon + 1] === ' ' ? colon + 2 : colon + 1)]
}

/** Undefined for an event without data, such as a comment. */
export function readEventFields (event: Buffer): EventFields | undefined {
  let [type, id] = ['', '']
  const data: string[] = []
  for (const line of event.toString('utf8').split(LINE_END)) {
    const [name, value] = readLine(line)
    type = name === 'event' ? value : type
    id = name === 'id' ? value : id
    if (name === 'data') {
      data.push(value)
    }
  }
  return data.length === 0 ? undefined : { type, id, data: data.join('\n') }
}
