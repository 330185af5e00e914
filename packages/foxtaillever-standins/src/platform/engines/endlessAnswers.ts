/** Answers of a stand-in server that do not end until the peer closes the connection. */
import type { Socket } from 'node:net'

/** Which bytes never end. */
export enum EndlessAnswer {
  /** A header line after the other. */
  Head = 'head',
  /** Informational heads before the answer's own. */
  InformationalHeads = 'informational-heads',
  /** Bytes that are no HTTP. */
  NotHttp = 'not-http',
  RefusalChunked = 'refusal-chunked',
  RefusalUnframed = 'refusal-unframed',
  /** The body of a refusal with a length that it does not reach in a lifetime. */
  RefusalFramed = 'refusal-framed',
  /** The extension of each chunk is long, its content is one byte. */
  RefusalExtensions = 'refusal-extensions',
  /** A refusal whose body does not end and of which nothing more is sent. */
  RefusalStalled = 'refusal-stalled',
  Error = 'error',
  Unstamped = 'unstamped',
  Stamped = 'stamped',
  StampedUnframed = 'stamped-unframed',
  /** One event of a stream. */
  Event = 'event',
  /** Comments of a stream, each followed by an empty line. */
  Comments = 'comments',
  Trailers = 'trailers'
}

/** What is sent once, and what is sent again and again. */
interface EndlessBytes {
  readonly first: string
  readonly again: string
}

const PIECE_BYTES = 8192
const text = 'x'.repeat(PIECE_BYTES)

function chunkOf (content: string): string {
  return `${content.length.toString(16)}\r\n${content}\r\n`
}

const chunked = 'Transfer-Encoding: chunked'
const unframed = 'Connection: close'
const stamp = 'X-Server-Stamp: stamp.endless'
const notRun = 'X-Not-Executed: 1'
const eventStream = 'Content-Type: text/event-stream'

type CreateBytes = (requestId: string) => EndlessBytes

function createAnswer (status: string, headers: readonly string[], again: string, begin = ''): CreateBytes {
  return requestId => ({ first: [`HTTP/1.1 ${status}`, `X-Request-Id: ${requestId}`, ...headers, '', begin].join('\r\n'), again })
}

const bytesOf: Readonly<Record<EndlessAnswer, CreateBytes>> = {
  [EndlessAnswer.Head]: () => ({ first: 'HTTP/1.1 200 OK\r\n', again: `X-Filler: ${'x'.repeat(1000)}\r\n` }),
  [EndlessAnswer.InformationalHeads]: () => ({ first: '', again: 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(100) }),
  [EndlessAnswer.NotHttp]: () => ({ first: '', again: text }),
  [EndlessAnswer.RefusalChunked]: createAnswer('503 Full', [notRun, chunked], chunkOf(text)),
  [EndlessAnswer.RefusalUnframed]: createAnswer('503 Full', [notRun, unframed], text),
  [EndlessAnswer.RefusalFramed]: createAnswer('503 Full', [notRun, 'Content-Length: 1000000000000'], text),
  [EndlessAnswer.RefusalExtensions]: createAnswer('503 Full', [notRun, chunked], `1;${text}\r\nx\r\n`),
  [EndlessAnswer.RefusalStalled]: createAnswer('503 Full', [notRun, chunked], '', chunkOf('x')),
  [EndlessAnswer.Error]: createAnswer('500 Failed', [stamp, chunked], chunkOf(text)),
  [EndlessAnswer.Unstamped]: createAnswer('200 OK', [chunked], chunkOf(text)),
  [EndlessAnswer.Stamped]: createAnswer('200 OK', [stamp, chunked], chunkOf(text)),
  [EndlessAnswer.StampedUnframed]: createAnswer('200 OK', [stamp, unframed], text),
  [EndlessAnswer.Event]: createAnswer('200 OK', [stamp, eventStream, chunked], chunkOf(text), chunkOf('id: 1\ndata: ')),
  [EndlessAnswer.Comments]: createAnswer('200 OK', [stamp, eventStream, chunked], chunkOf(': still here\n\n'.repeat(100))),
  [EndlessAnswer.Trailers]: createAnswer('200 OK', [stamp, chunked, 'Trailer: X-Filler'], `X-Filler: ${'x'.repeat(1000)}\r\n`, `${chunkOf('done')}0\r\n`)
}

/** Writes endless answers and counts what was sent. */
export class EndlessWriter {
  /** Bytes that the operating system accepted, most of which the peer has not read. */
  bytes = 0
  /** Answers that were begun. */
  begun = 0
  /** Connections on which an endless answer was begun and that the peer has not closed. */
  open = 0

  private constructor () {}

  static create (): EndlessWriter {
    return new EndlessWriter()
  }

  write (answer: EndlessAnswer, requestId: string, socket: Socket): void {
    const { first, again } = bytesOf[answer](requestId)
    this.begun += 1
    this.open += 1
    socket.once('close', () => { this.open -= 1 })
    socket.on('error', () => {})
    socket.write(first)
    this.writeAgain(socket, again)
  }

  private writeAgain (socket: Socket, piece: string): void {
    if (socket.destroyed || piece === '') {
      return
    }
    socket.write(piece, () => {
      this.bytes += piece.length
      // One piece in each turn of the event loop, because other servers share it.
      setImmediate(() => this.writeAgain(socket, piece))
    })
  }
}
