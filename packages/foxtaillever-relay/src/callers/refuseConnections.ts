/** Refuses the requests of connections that are not kept, without parsing them: a parser for each costs as much as serving a small request. */
import type { Socket } from 'node:net'
import { atAfterSilence, type Clock } from 'foxtaillever-core'

export interface RefusalBounds {
  readonly clock: Clock
  /** Most bytes of a connection that are read, and discarded, until its caller has closed its side. */
  readonly maxBytes: number
  /** When the callers must have sent their first byte and closed their side, milliseconds of Unix time. */
  readonly deadline: number
}

/**
 * Answers as soon as the first bytes of a request are read, and closes the connection.
 * The caller's bytes are read until it has closed its side: a connection that is
 * closed with unread bytes is reset, which can destroy an answer on its way.
 */
function refuse (socket: Socket, answer: Buffer, maxBytes: number): void {
  socket.once('data', () => socket.end(answer))
  socket.on('data', () => {
    if (socket.bytesRead > maxBytes) {
      socket.destroy()
    }
  })
  socket.once('end', () => socket.end())
  // The caller has closed the connection; nothing can be answered.
  socket.on('error', () => {})
  socket.resume()
}

/**
 * @param sockets of which nothing was read.
 * @param answer a whole answer, after which the connection is closed.
 */
export function refuseConnections (sockets: readonly Socket[], answer: Buffer, { clock, maxBytes, deadline }: RefusalBounds): void {
  const open = new Set(sockets)
  const cancel = atAfterSilence(clock, deadline, () => open.forEach(socket => socket.destroy()))
  for (const socket of sockets) {
    refuse(socket, answer, maxBytes)
    socket.once('close', () => {
      open.delete(socket)
      if (open.size === 0) {
        cancel()
      }
    })
  }
}
