/**
 * Hands the bytes of a connection to the parser of node:http request by request. The parser would take every request of
 * what was read before any of them is answered, so that some kilobytes of short requests become a hundred times as much
 * in the heap. Here the bytes behind a few requests wait until one of these is answered. The connection is read on
 * meanwhile, since otherwise nothing would tell that its caller left; if more follows than may wait, it is dropped, and
 * the connection closes after the answers. Bodies in chunks share a part of each turn of the event loop.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { Holding, openHeadBytesOf, Reservation, type ProcessBudget } from 'foxtaillever-policy/relay/processBudget'
import type { ChunkReader, ChunkWork } from './chunkWork.js'

/** Bytes of a body in chunks that are parsed at once. */
const CHUNKED_PIECE_BYTES = 1024

/** Requests of a connection that are in progress at the same time. */
const MAX_UNANSWERED = 4

/** Bytes that may wait behind these: a whole head of the usual limit. */
const MAX_PIPELINED_BYTES = 16 * 1024

/** Ends a head, and a body in chunks. No request is complete before it, so that bytes up to it hold one request at most. */
const END = Buffer.from('\r\n\r\n')

const none: Buffer = Buffer.alloc(0)

export interface RequestFeedOptions {
  readonly budget: ProcessBudget
  /** Shared by all connections of the process. */
  readonly chunkWork: ChunkWork
  /** Ends a connection whose head has no room and is not complete. */
  readonly refuseOpenHead: (socket: Socket) => void
  /** More bytes followed the requests in progress than may wait; their connection closes after the answers. */
  readonly onPipelinedExcess: () => void
}

export class RequestFeed implements ChunkReader {
  /** Bytes that were read and not parsed. */
  private waiting = none
  /** Last bytes that were parsed, which may be the beginning of an end. */
  private tail = none
  /** The request whose body is not complete; undefined between bodies. */
  private incomplete: IncomingMessage | undefined
  /** Bytes that are missing of a body with a length. */
  private missingBytes = 0
  /** Answers that are not written out. */
  private readonly unanswered = new Set<ServerResponse>()
  private isDropping = false
  private readonly pipelined: Reservation
  /** Bytes of the head that is being read. */
  private headBytes = 0
  private readonly openHead: Reservation

  /** @param openHeads of all connections of the server, in the order in which they began. */
  private constructor (private readonly socket: Socket, private readonly parse: (bytes: Buffer) => void, private readonly openHeads: Set<RequestFeed>, private readonly options: RequestFeedOptions) {
    this.openHead = Reservation.create(options.budget, Holding.OpenHead)
    this.pipelined = Reservation.create(options.budget, Holding.Pipelined)
  }

  /** Feeds all connections of the server. Must be called before others listen for its connections and requests. */
  static attach (server: Server, options: RequestFeedOptions): void {
    const feeds = new WeakMap<Socket, RequestFeed>()
    const openHeads = new Set<RequestFeed>()
    server.on('connection', (socket: Socket) => feeds.set(socket, RequestFeed.create(socket, openHeads, options)))
    server.prependListener('request', (request, response) => feeds.get(request.socket)?.handleRequest(request, response))
  }

  private static create (socket: Socket, openHeads: Set<RequestFeed>, options: RequestFeedOptions): RequestFeed {
    const listeners = socket.listeners('data') as Array<(bytes: Buffer) => void>
    const feed = new RequestFeed(socket, bytes => listeners.forEach(listener => listener.call(socket, bytes)), openHeads, options)
    listeners.forEach(listener => socket.removeListener('data', listener))
    socket.on('data', (bytes: Buffer) => feed.handleBytes(bytes))
    socket.once('close', () => feed.handleClosed())
    // An answer to what is no request has no event of its own.
    socket.on('drain', () => feed.parseWaiting())
    return feed
  }

  get hasChunks (): boolean {
    return !this.socket.destroyed && this.isReadingChunks && this.waiting.length > 0
  }

  parseChunks (): number {
    const { waiting } = this
    const parsed = this.parsePiece(waiting, 0)
    this.waiting = waiting.subarray(parsed)
    if (this.waiting.length === 0 || !this.isReadingChunks) {
      this.resume()
    }
    return parsed
  }

  /** Whether the next bytes belong to a body in chunks. */
  private get isReadingChunks (): boolean {
    return this.incomplete !== undefined && this.missingBytes === 0
  }

  /** Whether the next bytes belong to the request that is being read, or a new one may begin. */
  private get isParsing (): boolean {
    const { socket, incomplete, unanswered } = this
    return !socket.destroyed && (incomplete !== undefined || (unanswered.size < MAX_UNANSWERED && !socket.writableNeedDrain))
  }

  private handleBytes (bytes: Buffer): void {
    if (this.isDropping) {
      return
    }
    if (this.waiting.length > 0) {
      this.wait(Buffer.concat([this.waiting, bytes]))
    } else {
      this.parseAll(bytes)
    }
  }

  private parseAll (bytes: Buffer): void {
    let from = 0
    while (from < bytes.length && this.isParsing && (!this.isReadingChunks || this.options.chunkWork.takePiece(CHUNKED_PIECE_BYTES))) {
      from += this.parsePiece(bytes, from)
    }
    if (from < bytes.length && !this.socket.destroyed) {
      this.wait(bytes.subarray(from))
    }
  }

  /** Parses bytes that hold the rest of one head or of one body at most; returns how many. */
  private parsePiece (bytes: Buffer, from: number): number {
    const length = this.pieceLength(bytes, from)
    const piece = bytes.subarray(from, from + length)
    if (this.missingBytes > 0) {
      this.missingBytes -= length
    }
    this.tail = Buffer.concat([this.tail, piece.subarray(-END.length)]).subarray(1 - END.length)
    const { unanswered: { size }, incomplete } = this
    this.parse(piece)
    if (incomplete === undefined && size === this.unanswered.size) {
      this.countOpenHead(length)
    }
    if (this.incomplete && (this.incomplete.complete || (this.missingBytes === 0 && !isInChunks(this.incomplete)))) {
      this.incomplete = undefined
    }
    return length
  }

  private pieceLength (bytes: Buffer, from: number): number {
    const left = Math.min(bytes.length - from, this.isReadingChunks ? CHUNKED_PIECE_BYTES : Infinity)
    if (this.missingBytes > 0) {
      return Math.min(this.missingBytes, left)
    }
    const { tail } = this
    const seam = Buffer.concat([tail, bytes.subarray(from, from + END.length - 1)]).indexOf(END)
    if (seam >= 0) {
      return Math.min(left, seam + END.length - tail.length)
    }
    const end = bytes.indexOf(END, from)
    return end < 0 ? left : Math.min(left, end + END.length - from)
  }

  private countOpenHead (bytes: number): void {
    this.headBytes += bytes
    this.openHeads.add(this)
    while (!this.socket.destroyed && !this.isDropping && !this.openHead.resize(openHeadBytesOf(this.headBytes))) {
      const [oldest = this] = this.openHeads
      oldest.closeOpenHead()
    }
  }

  /** Makes room for other heads. Requests before this one are still answered. */
  private closeOpenHead (): void {
    if (this.unanswered.size > 0) {
      this.drop()
      return
    }
    this.release()
    this.options.refuseOpenHead(this.socket)
    this.socket.destroy()
  }

  private endOpenHead (): void {
    this.headBytes = 0
    this.openHeads.delete(this)
    this.openHead.release()
  }

  private handleRequest (request: IncomingMessage, response: ServerResponse): void {
    this.endOpenHead()
    this.unanswered.add(response)
    this.missingBytes = isInChunks(request) ? 0 : Number(request.headers['content-length'] ?? 0)
    this.incomplete = isInChunks(request) || this.missingBytes > 0 ? request : undefined
    response.once('close', () => this.handleAnswered(response))
  }

  private handleAnswered (response: ServerResponse): void {
    this.unanswered.delete(response)
    if (this.isDropping) {
      this.closeIfAnswered()
    } else {
      this.parseWaiting()
    }
  }

  private closeIfAnswered (): void {
    if (this.unanswered.size === 0) {
      this.socket.destroySoon()
    }
  }

  /** Parses what waits behind requests in progress, if there are fewer now. */
  private parseWaiting (): void {
    const { waiting } = this
    if (waiting.length > 0 && this.isParsing && !this.isReadingChunks) {
      this.waiting = none
      this.pipelined.release()
      this.parseAll(waiting)
    }
  }

  private wait (bytes: Buffer): void {
    if (this.isReadingChunks) {
      this.waitForTurn(bytes)
    } else if (bytes.length <= MAX_PIPELINED_BYTES && this.pipelined.resize(bytes.length)) {
      // Copied, so that a few bytes do not keep all that was read with them.
      this.waiting = Buffer.from(bytes)
    } else {
      this.drop()
    }
  }

  /** Nothing more is read before the event loop has had time for these chunks. */
  private waitForTurn (bytes: Buffer): void {
    const isFirst = this.waiting.length === 0
    if (!this.pipelined.resize(bytes.length)) {
      this.release()
      this.socket.destroy()
      return
    }
    this.waiting = bytes
    this.socket.pause()
    if (isFirst) {
      this.options.chunkWork.add(this)
    }
  }

  /** The chunks that waited are parsed. What follows them may be the next request. */
  private resume (): void {
    const { waiting } = this
    this.waiting = none
    this.pipelined.release()
    if (!this.socket.destroyed) {
      this.socket.resume()
      this.parseAll(waiting)
    }
  }

  private drop (): void {
    this.isDropping = true
    this.release()
    this.options.onPipelinedExcess()
    this.closeIfAnswered()
  }

  private handleClosed (): void {
    this.release()
    // node:http closes only the first answer with its connection; those behind it would never learn that their caller left.
    process.nextTick(() => this.unanswered.forEach(response => {
      response.destroy()
      response.emit('close')
    }))
  }

  private release (): void {
    this.waiting = none
    this.pipelined.release()
    this.endOpenHead()
  }
}

function isInChunks ({ headers }: IncomingMessage): boolean {
  return headers['transfer-encoding'] !== undefined
}
