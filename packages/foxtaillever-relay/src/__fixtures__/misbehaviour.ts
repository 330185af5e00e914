/** The ways in which a scripted backend server answers, each with whether it ran the request. */
import { chunk, streamHead, wholeAnswer, type Arrival } from './scriptedServer.js'

export enum Way {
  Whole = 'whole',
  Unframed = 'unframed',
  WholeAndRubbish = 'whole-and-rubbish',
  WholeAndAnother = 'whole-and-another',
  WholeThenLate = 'whole-then-late',
  WholeThenClose = 'whole-then-close',
  Early = 'early',
  Refused = 'refused',
  Misdirected = 'misdirected',
  Failed = 'failed',
  BusyWithoutProof = 'busy-without-proof',
  Unstamped = 'unstamped',
  Foreign = 'foreign',
  Rubbish = 'rubbish',
  CutInHead = 'cut-in-head',
  CutInBody = 'cut-in-body',
  ResetInBody = 'reset-in-body',
  UnframedReset = 'unframed-reset',
  Closed = 'closed',
  Reset = 'reset',
  Silent = 'silent'
}

export const EVENTS = 5

export function bodyOf ({ id }: Pick<Arrival, 'id'>): string {
  return `the body of ${id}`
}

const notRun = new Set([Way.Refused, Way.Misdirected])

export function runsIt (way: Way): boolean {
  return !notRun.has(way)
}

const another: Arrival = { id: 'another', head: '', body: '', connection: 0, socket: undefined as never }

function half (text: string): string {
  return text.slice(0, -4)
}

function unframed ({ id }: Arrival, body: string): string {
  return `HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\nstamp: s\r\nconnection: close\r\n\r\n${body}`
}

interface ResettableHandle {
  readonly reset: (done: () => void) => number
}

/** Socket.resetAndDestroy ends the connection first, and the peer sees that. */
function reset ({ socket }: Arrival): void {
  const { _handle: handle } = socket as unknown as { readonly _handle: ResettableHandle | null }
  handle?.reset(() => {})
  socket.destroy()
}

type Play = (arrival: Arrival) => void

const plain: Readonly<Record<Way, Play>> = {
  [Way.Whole]: arrival => { arrival.socket.write(wholeAnswer(arrival, bodyOf(arrival))) },
  [Way.Unframed]: arrival => { arrival.socket.end(unframed(arrival, bodyOf(arrival))) },
  [Way.WholeAndRubbish]: arrival => { arrival.socket.write(`${wholeAnswer(arrival, bodyOf(arrival))}rubbish`) },
  [Way.WholeAndAnother]: arrival => { arrival.socket.write(wholeAnswer(arrival, bodyOf(arrival)) + wholeAnswer(another, 'other')) },
  [Way.WholeThenLate]: arrival => {
    arrival.socket.write(wholeAnswer(arrival, bodyOf(arrival)))
    setImmediate(() => arrival.socket.write(wholeAnswer(another, 'other')))
  },
  [Way.WholeThenClose]: arrival => { arrival.socket.end(wholeAnswer(arrival, bodyOf(arrival))) },
  [Way.Early]: arrival => {
    arrival.socket.write('HTTP/1.1 100 Continue\r\n\r\n')
    arrival.socket.write(wholeAnswer(arrival, bodyOf(arrival)))
  },
  [Way.Refused]: arrival => { arrival.socket.write(wholeAnswer(arrival, '', '503 Full', 'not-run: 1')) },
  [Way.Misdirected]: arrival => { arrival.socket.write(wholeAnswer(arrival, '', '421 Other')) },
  [Way.Failed]: arrival => { arrival.socket.write(wholeAnswer(arrival, 'failed', '500 Failed')) },
  [Way.BusyWithoutProof]: arrival => { arrival.socket.write(wholeAnswer(arrival, '', '503 Full')) },
  [Way.Unstamped]: arrival => { arrival.socket.write(`HTTP/1.1 200 OK\r\nrequest-id: ${arrival.id}\r\ncontent-length: 2\r\n\r\nhm`) },
  [Way.Foreign]: arrival => { arrival.socket.write(wholeAnswer(another, 'other')) },
  [Way.Rubbish]: arrival => { arrival.socket.write('rubbish\r\n\r\n') },
  [Way.CutInHead]: arrival => { arrival.socket.end('HTTP/1.1 200 OK\r\nrequest-') },
  [Way.CutInBody]: arrival => { arrival.socket.end(half(wholeAnswer(arrival, bodyOf(arrival)))) },
  [Way.ResetInBody]: arrival => { arrival.socket.write(half(wholeAnswer(arrival, bodyOf(arrival))), () => reset(arrival)) },
  [Way.UnframedReset]: arrival => { arrival.socket.write(unframed(arrival, half(bodyOf(arrival))), () => reset(arrival)) },
  [Way.Closed]: arrival => { arrival.socket.end() },
  [Way.Reset]: reset,
  [Way.Silent]: () => {}
}

/** Events that the caller lacks, as one text. */
function events ({ head }: Arrival, until = EVENTS): string {
  const after = Number(/^after: (\d+)/m.exec(head)?.[1] ?? 0)
  return Array.from({ length: Math.max(0, until - after) }, (_, index) => `id: ${after + index + 1}\ndata: x\n\n`).join('')
}

const MIDDLE = 3

/** Streams differ where the answer has begun. */
const streamed: Partial<Record<Way, Play>> = {
  [Way.Whole]: arrival => { arrival.socket.write(`${streamHead(arrival)}${chunk(events(arrival))}0\r\n\r\n`) },
  [Way.Unframed]: arrival => { arrival.socket.end(streamHead(arrival, false) + events(arrival)) },
  [Way.WholeAndRubbish]: arrival => { arrival.socket.write(`${streamHead(arrival)}${chunk(events(arrival))}0\r\n\r\nrubbish`) },
  [Way.CutInBody]: arrival => { arrival.socket.end(streamHead(arrival) + chunk(`${events(arrival, MIDDLE)}id: `)) },
  [Way.ResetInBody]: arrival => { arrival.socket.write(streamHead(arrival) + chunk(`${events(arrival, MIDDLE)}id: `), () => reset(arrival)) },
  [Way.UnframedReset]: arrival => { arrival.socket.end(`${streamHead(arrival, false)}${events(arrival, MIDDLE)}id: `) }
}

export function play (way: Way, isStream: boolean, arrival: Arrival): void {
  const run = (isStream ? streamed[way] : undefined) ?? plain[way]
  run(arrival)
}
