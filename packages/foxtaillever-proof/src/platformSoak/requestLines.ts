/** Keeps what a process logs about requests, so that a broken promise is reported with its cause. */
import { Either } from 'purify-ts/Either'

/** Fields of log lines that tell why an answer ended. */
const CAUSES = ['kind', 'detail', 'code', 'outcome', 'reason', 'server', 'servers', 'softwareVersion', 'ms'] as const

type LogLine = { readonly msg: string, readonly time: string, readonly request?: string } & Readonly<Partial<Record<typeof CAUSES[number], unknown>>>

export class RequestLines {
  private readonly linesOf = new Map<string, string[]>()

  private constructor () {}

  static create (): RequestLines {
    return new RequestLines()
  }

  add (text: string): void {
    if (!text.includes('"request":')) {
      return
    }
    // The last line of a process that was killed may be incomplete.
    Either.encase(() => JSON.parse(text) as LogLine).ifRight(line => this.addLine(line))
  }

  private addLine (line: LogLine): void {
    const { request = '', msg, time } = line
    const causes = CAUSES.flatMap(name => line[name] === undefined ? [] : [`${name}=${String(line[name])}`])
    const lines = this.linesOf.get(request) ?? []
    this.linesOf.set(request, [...lines, `${time.slice(11)} ${msg} ${causes.join(' ')}`])
  }

  /** Lines about a request, in their order. */
  of (request: string): readonly string[] {
    return this.linesOf.get(request) ?? []
  }
}
