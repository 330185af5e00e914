/** Requests as bytes, whole and broken off. */

export interface RequestText {
  readonly method?: string
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
}

/** The head of a request without the empty line that ends it. */
export function renderOpenHead ({ method = 'POST', path, headers }: RequestText): string {
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`)
  return `${method} ${path} HTTP/1.1\r\n${lines.join('')}`
}

export function renderHead (text: RequestText): string {
  return `${renderOpenHead(text)}\r\n`
}

/** A request with a body of which the last bytes are missing. */
export function renderWithBody (text: RequestText, bodyBytes: number, missingBytes = 0): Buffer {
  const head = renderHead({ ...text, headers: { ...text.headers, 'Content-Length': String(bodyBytes) } })
  return Buffer.concat([Buffer.from(head), Buffer.alloc(bodyBytes - missingBytes, '.')])
}

/** Chunks of one byte each, without the last chunk. */
export function renderTinyChunks (bodyBytes: number): Buffer {
  return Buffer.from('1\r\n.\r\n'.repeat(bodyBytes))
}

const TINY_LINE = 'a:\r\n'

export const TINY_LINE_BYTES = TINY_LINE.length

/** Header lines with the shortest name and no value. */
export function renderTinyHeaderLines (lines: number): string {
  return TINY_LINE.repeat(lines)
}
