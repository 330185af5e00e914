/**
 * Bounds on bytes from outside this process that may come without end: they must cost no
 * memory, link or connection. A single head is bounded by node:http, at 16 KB.
 */
import type { ClientRequest, IncomingMessage } from 'node:http'
import { atAfterSilence, type Clock } from 'foxtaillever-core'

export interface BodyBound {
  readonly clock: Clock
  readonly maxBytes: number
  /** Milliseconds of Unix time; extended by stalls of this process. */
  readonly deadline: number
}

/** Why a body was not read to its end. */
export enum BodyExcess {
  Bytes = 'bytes',
  Time = 'time'
}

/**
 * Closes the connection of a message whose body is larger than the bound or does not
 * end in time. The body must be read by someone, see `drainBody`.
 * @param onExceeded called at most once, after the connection was closed.
 */
export function boundBody (message: IncomingMessage, { clock, maxBytes, deadline }: BodyBound, onExceeded: (excess: BodyExcess) => void): void {
  const { socket } = message
  const bytesBefore = socket.bytesRead
  let bodyBytes = 0
  const exceed = (excess: BodyExcess): void => {
    stop()
    message.destroy()
    onExceeded(excess)
  }
  const cancelDeadline = atAfterSilence(clock, deadline, () => exceed(BodyExcess.Time))
  const onData = (bytes: Buffer): void => {
    bodyBytes += bytes.length
    // Chunk extensions are bytes of the connection, but not of the body.
    if (Math.max(bodyBytes, socket.bytesRead - bytesBefore) > maxBytes) {
      exceed(BodyExcess.Bytes)
    }
  }
  const stop = (): void => {
    cancelDeadline()
    message.off('data', onData)
  }
  message.once('end', stop)
  message.once('close', stop)
  if (Number(message.headers['content-length'] ?? 0) > maxBytes) {
    exceed(BodyExcess.Bytes)
    return
  }
  message.on('data', onData)
}

/** Whether the head of a request announces a body. */
export function hasBody ({ headers }: IncomingMessage): boolean {
  return headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0
}

/** Reads a body that nobody needs, so that its connection can be reused, unless it exceeds the bound. */
export function drainBody (message: IncomingMessage, bound: BodyBound, onExceeded: (excess: BodyExcess) => void): void {
  boundBody(message, bound, onExceeded)
  message.resume()
}

/** Informational heads that may precede an answer: one a second for a minute, from a server that shows so that it is at work. */
const MAX_INFORMATIONAL_HEADS = 64

/** An answer did not begin after so many informational heads. */
export class EndlessHeadsError extends Error {}

/** Closes the connection of a request whose answer does not begin after many informational heads. */
export function boundInformationalHeads (request: ClientRequest): void {
  let heads = 0
  request.on('information', () => {
    heads += 1
    if (heads > MAX_INFORMATIONAL_HEADS) {
      request.destroy(new EndlessHeadsError('too many informational heads'))
    }
  })
}
