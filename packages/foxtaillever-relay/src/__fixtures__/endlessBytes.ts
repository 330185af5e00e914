/** Writes bytes without end to a connection until the peer closes it. */
import type { Socket } from 'node:net'
import { chunk } from './scriptedServer.js'

const PIECE = 'x'.repeat(8192)

/** How a body is framed. */
export enum Framing {
  Chunked = 'chunked',
  Unframed = 'unframed',
  Length = 'length'
}

const framingHeaders: Readonly<Record<Framing, string>> = {
  [Framing.Chunked]: 'transfer-encoding: chunked',
  [Framing.Unframed]: 'connection: close',
  [Framing.Length]: 'content-length: 1000000000000'
}

/** @param headers of the answer, without those of its framing. */
export function headWithoutEnd (status: string, headers: readonly string[], framing = Framing.Chunked): string {
  return [`HTTP/1.1 ${status}`, ...headers, framingHeaders[framing], '', ''].join('\r\n')
}

export function pieceOf (framing: Framing, text = PIECE): string {
  return framing === Framing.Chunked ? chunk(text) : text
}

/** Writes the piece again and again, as fast as the peer reads. */
export function writeWithoutEnd (socket: Socket, piece: string): void {
  const write = (): void => {
    if (!socket.destroyed) {
      // One piece an iteration, so that the process that reads also runs when both are the same.
      socket.write(piece, () => setImmediate(write))
    }
  }
  write()
}

/** Resolves with whether the connection closes within the time, milliseconds of real time. */
export async function closesWithin (socket: Socket | undefined, ms: number): Promise<boolean> {
  return await new Promise(resolve => {
    if (!socket || socket.destroyed) {
      resolve(true)
      return
    }
    const timer = setTimeout(() => resolve(false), ms)
    socket.once('close', () => {
      clearTimeout(timer)
      resolve(true)
    })
  })
}
