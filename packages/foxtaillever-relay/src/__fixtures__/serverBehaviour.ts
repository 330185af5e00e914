/** How a scripted backend server answers a request, correctly or not, and whether it runs the request. */
import { chunk, streamHead, wholeAnswer, type Arrival } from './scriptedServer.js'

export enum ServerBehaviour {
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

export const EVENT_COUNT = 5

export function bodyOf ({ id }: Pick<Arrival, 'id'>): string {
  return `the body of ${id}`
}

const notRun = new Set([ServerBehaviour.Refused, ServerBehaviour.Misdirected])

export function runsRequest (behaviour: ServerBehaviour): boolean {
  return !notRun.has(behaviour)
}

const anotherRequest: Arrival = { id: 'another', head: '', body: '', connection: 0, socket: undefined as never }

function withoutEnd (text: string): string {
  return text.slice(0, -4)
}

function unframed ({ id }: Arrival, body: string): string {
  return `HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\nstamp: s\r\nconnection: close\r\n\r\n${body}`
}

interface ResettableHandle {
  readonly reset: (done: () => void) => number
}

/** Resets a connection. Socket.resetAndDestroy would end it first, which the peer notices. */
function reset ({ socket }: Arrival): void {
  const { _handle: handle } = socket as unknown as { readonly _handle: ResettableHandle | null }
  handle?.reset(() => {})
  socket.destroy()
}

type SendResponse = (arrival: Arrival) => void

const plainResponses: Readonly<Record<ServerBehaviour, SendResponse>> = {
  [ServerBehaviour.Whole]: arrival => { arrival.socket.write(wholeAnswer(arrival, bodyOf(arrival))) },
  [ServerBehaviour.Unframed]: arrival => { arrival.socket.end(unframed(arrival, bodyOf(arrival))) },
  [ServerBehaviour.WholeAndRubbish]: arrival => { arrival.socket.write(`${wholeAnswer(arrival, bodyOf(arrival))}rubbish`) },
  [ServerBehaviour.WholeAndAnother]: arrival => { arrival.socket.write(wholeAnswer(arrival, bodyOf(arrival)) + wholeAnswer(anotherRequest, 'other')) },
  [ServerBehaviour.WholeThenLate]: arrival => {
    arrival.socket.write(wholeAnswer(arrival, bodyOf(arrival)))
    setImmediate(() => arrival.socket.write(wholeAnswer(anotherRequest, 'other')))
  },
  [ServerBehaviour.WholeThenClose]: arrival => { arrival.socket.end(wholeAnswer(arrival, bodyOf(arrival))) },
  [ServerBehaviour.Early]: arrival => {
    arrival.socket.write('HTTP/1.1 100 Continue\r\n\r\n')
    arrival.socket.write(wholeAnswer(arrival, bodyOf(arrival)))
  },
  [ServerBehaviour.Refused]: arrival => { arrival.socket.write(wholeAnswer(arrival, '', '503 Full', 'not-run: 1')) },
  [ServerBehaviour.Misdirected]: arrival => { arrival.socket.write(wholeAnswer(arrival, '', '421 Other')) },
  [ServerBehaviour.Failed]: arrival => { arrival.socket.write(wholeAnswer(arrival, 'failed', '500 Failed')) },
  [ServerBehaviour.BusyWithoutProof]: arrival => { arrival.socket.write(wholeAnswer(arrival, '', '503 Full')) },
  [ServerBehaviour.Unstamped]: arrival => { arrival.socket.write(`HTTP/1.1 200 OK\r\nrequest-id: ${arrival.id}\r\ncontent-length: 2\r\n\r\nhm`) },
  [ServerBehaviour.Foreign]: arrival => { arrival.socket.write(wholeAnswer(anotherRequest, 'other')) },
  [ServerBehaviour.Rubbish]: arrival => { arrival.socket.write('rubbish\r\n\r\n') },
  [ServerBehaviour.CutInHead]: arrival => { arrival.socket.end('HTTP/1.1 200 OK\r\nrequest-') },
  [ServerBehaviour.CutInBody]: arrival => { arrival.socket.end(withoutEnd(wholeAnswer(arrival, bodyOf(arrival)))) },
  [ServerBehaviour.ResetInBody]: arrival => { arrival.socket.write(withoutEnd(wholeAnswer(arrival, bodyOf(arrival))), () => reset(arrival)) },
  [ServerBehaviour.UnframedReset]: arrival => { arrival.socket.write(unframed(arrival, withoutEnd(bodyOf(arrival))), () => reset(arrival)) },
  [ServerBehaviour.Closed]: arrival => { arrival.socket.end() },
  [ServerBehaviour.Reset]: reset,
  [ServerBehaviour.Silent]: () => {}
}

/** The events that the caller has not received, as one text. */
function events ({ head }: Arrival, until = EVENT_COUNT): string {
  const after = Number(/^after: (\d+)/m.exec(head)?.[1] ?? 0)
  return Array.from({ length: Math.max(0, until - after) }, (_, index) => `id: ${after + index + 1}\ndata: x\n\n`).join('')
}

const EVENTS_BEFORE_CUT = 3

/** Responses that differ for streams. */
const streamResponses: Partial<Record<ServerBehaviour, SendResponse>> = {
  [ServerBehaviour.Whole]: arrival => { arrival.socket.write(`${streamHead(arrival)}${chunk(events(arrival))}0\r\n\r\n`) },
  [ServerBehaviour.Unframed]: arrival => { arrival.socket.end(streamHead(arrival, false) + events(arrival)) },
  [ServerBehaviour.WholeAndRubbish]: arrival => { arrival.socket.write(`${streamHead(arrival)}${chunk(events(arrival))}0\r\n\r\nrubbish`) },
  [ServerBehaviour.CutInBody]: arrival => { arrival.socket.end(streamHead(arrival) + chunk(`${events(arrival, EVENTS_BEFORE_CUT)}id: `)) },
  [ServerBehaviour.ResetInBody]: arrival => { arrival.socket.write(streamHead(arrival) + chunk(`${events(arrival, EVENTS_BEFORE_CUT)}id: `), () => reset(arrival)) },
  [ServerBehaviour.UnframedReset]: arrival => { arrival.socket.end(`${streamHead(arrival, false)}${events(arrival, EVENTS_BEFORE_CUT)}id: `) }
}

export function respondAs (behaviour: ServerBehaviour, isStream: boolean, arrival: Arrival): void {
  const run = (isStream ? streamResponses[behaviour] : undefined) ?? plainResponses[behaviour]
  run(arrival)
}
