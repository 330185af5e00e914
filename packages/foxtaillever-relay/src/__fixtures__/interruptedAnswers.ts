/** Answers that a server breaks off, in their head or while it is still sent the request. */
import { streamHead, wholeAnswer, type Answer, type Arrival } from './scriptedServer.js'

/** How a connection ends. */
export enum Break {
  End = 'end',
  Reset = 'reset'
}

const breakOff: Readonly<Record<Break, (arrival: Arrival, text: string) => void>> = {
  [Break.End]: ({ socket }, text) => { socket.end(text, 'latin1') },
  [Break.Reset]: ({ socket }, text) => { socket.write(text, 'latin1', () => socket.resetAndDestroy()) }
}

/** Number of bytes in the head of an answer to a request with the id, its empty line included. */
export function headLength (id: string, isStream: boolean): number {
  return headOf({ id } as Arrival, isStream).length
}

function headOf (arrival: Arrival, isStream: boolean): string {
  return isStream ? streamHead(arrival) : wholeAnswer(arrival, '', '200 OK', 'content-type: text/plain')
}

/** Stops after so many bytes of the answer's head. */
export function stopInHead (length: number, how: Break, isStream: boolean): Answer {
  return arrival => breakOff[how](arrival, headOf(arrival, isStream).slice(0, length))
}

/** How an answer says where it ends. */
export enum Framing {
  Connection = 'connection',
  Chunks = 'chunks',
  Length = 'length'
}

const partOf: Readonly<Record<Framing, (id: string) => string>> = {
  [Framing.Connection]: id => `HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\nstamp: s\r\nconnection: close\r\n\r\npart`,
  [Framing.Chunks]: id => `HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\nstamp: s\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n`,
  [Framing.Length]: id => `HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\nstamp: s\r\ncontent-length: 100\r\n\r\npart`
}

/** Sends a part of an answer and resets the connection a moment later. */
export function answerPartAndReset (framing: Framing, afterMs: number): Answer {
  return ({ id, socket }) => {
    socket.write(partOf[framing](id), () => { setTimeout(() => socket.resetAndDestroy(), afterMs) })
  }
}
