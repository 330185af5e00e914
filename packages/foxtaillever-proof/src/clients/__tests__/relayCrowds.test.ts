import { describe, it } from 'foxtaillever-testing'
import type { Client, Crowd } from '../crowd.js'
import { checkCrowd } from '../limitedProcess.js'
import { MAX_BODY_BYTES, MAX_HEADER_BYTES, plainRequest, startLimitedRelay, type LimitedRelayOptions } from '../limitedRelay.js'
import { renderHead, renderOpenHead, renderTinyChunks, renderTinyHeaderLines, renderWithBody, TINY_LINE_BYTES } from '../requestTexts.js'

/** How long servers work on a request of crowds whose requests wait, milliseconds. */
const WORK_MS = 3000

const SLOW_SERVERS: LimitedRelayOptions = { plainShape: { workMs: WORK_MS, slots: Infinity, maxWaiting: 0 }, descriptors: 4100 }
const LARGE_ANSWERS: LimitedRelayOptions = { plainShape: { workMs: 10, slots: Infinity, maxWaiting: 0, answerBytes: 4_000_000 }, descriptors: 2000 }
const MANY_DESCRIPTORS: LimitedRelayOptions = { descriptors: 2000 }
const ALL_DESCRIPTORS: LimitedRelayOptions = { descriptors: 4100 }

/** Shortest header lines that a head holds beside its ordinary ones, of 1000 bytes. */
const TINY_LINES = (MAX_HEADER_BYTES - 1000) / TINY_LINE_BYTES

/** Shared by all clients of a crowd. */
const TINY_CHUNKS = renderTinyChunks(MAX_BODY_BYTES)

/** A client of every second connection leaves while its request waits, milliseconds. */
function leavesEarly (index: number): Pick<Client, 'leavesAfterMs'> {
  return index % 2 === 0 ? { leavesAfterMs: 100 + index % 1400 } : {}
}

function toCallers (connections: number, clientOf: Crowd['clientOf']): Crowd {
  return { connections, door: 'callers', clientOf }
}

function silent (text: string | Buffer): Client {
  return { pieces: [Buffer.from(text)], reads: false }
}

/** Requests without a body that follow each other without waiting for answers. */
function pipeline (requests: number, method = 'POST', headers: Readonly<Record<string, string>> = { 'Content-Length': '0' }): string {
  return Array.from({ length: requests }, (_, index) => renderHead({ ...plainRequest(index, headers), method })).join('')
}

function renderCalls (path: string, times: number): string {
  return `GET ${path} HTTP/1.1\r\nHost: relay\r\n\r\n`.repeat(times)
}

function crowd (name: string, played: Crowd, options: LimitedRelayOptions = {}): void {
  it(name, async t => {
    await checkCrowd(t, await startLimitedRelay(options), played)
  })
}

describe('the entry process of the users\' platform', () => {
  describe('lives, within its memory and descriptors, and answers afterwards when clients', () => {
    // Guards against requests that are taken on one connection without a bound.
    crowd('send thousands of requests on a few connections and read nothing', toCallers(4, () => silent(pipeline(3000))))

    // Guards against connections whose first bytes are thousands of requests.
    crowd('send hundreds of requests on each of many connections and read nothing', toCallers(100, () => silent(pipeline(400))))

    // Guards against requests in progress without a bound, and against what is kept of requests whose callers have left.
    crowd('send requests with large heads that wait, and half of them leave', toCallers(1500, index => ({ ...silent(renderHead(plainRequest(index, { 'Content-Length': '0', 'X-Padding': 'x'.repeat(15_000) }))), ...leavesEarly(index) })), SLOW_SERVERS)

    // Guards against heads that take many times their bytes in the heap.
    crowd('send heads of thousands of lines that do not end', toCallers(2200, index => silent(renderOpenHead(plainRequest(index)) + renderTinyHeaderLines(TINY_LINES))), ALL_DESCRIPTORS)

    // Guards against heads of thousands of lines of requests that wait.
    crowd('send whole heads of thousands of lines, whose requests wait', toCallers(500, index => silent(`${renderOpenHead(plainRequest(index, { 'Content-Length': '0' }))}${renderTinyHeaderLines(TINY_LINES)}\r\n`)), SLOW_SERVERS)

    // Guards against bodies that are held until their last byte.
    crowd('send bodies that do not end', toCallers(200, index => silent(renderWithBody(plainRequest(index), MAX_BODY_BYTES, 10))), MANY_DESCRIPTORS)

    // Guards against bodies of requests in progress, and of those whose callers have left.
    crowd('send whole bodies, whose requests wait, and half of them leave', toCallers(1200, index => ({ pieces: [renderWithBody(plainRequest(index), 100_000)], reads: false, ...leavesEarly(index) })), SLOW_SERVERS)

    // Guards against an event loop that is busy with the chunks of bodies only.
    crowd('send bodies in chunks of one byte', toCallers(200, index => ({ pieces: [Buffer.from(renderHead(plainRequest(index, { 'Transfer-Encoding': 'chunked' }))), TINY_CHUNKS], reads: false })))

    // Guards against answers that are held for callers that do not read.
    crowd('do not read large answers', toCallers(800, index => silent(renderHead(plainRequest(index, { 'Content-Length': '0' })))), LARGE_ANSWERS)

    // Guards against several unread answers of one connection.
    crowd('ask for many large answers on a few connections and read nothing', toCallers(20, () => silent(pipeline(100))), LARGE_ANSWERS)

    // Guards against idle connections that take all descriptors.
    crowd('open connections and send nothing', toCallers(900, () => ({ pieces: [], reads: true })))

    // Guards against kept connections that take all descriptors after an answer.
    crowd('keep connections open after an answer', toCallers(900, index => ({ pieces: [Buffer.from(renderHead(plainRequest(index, { 'Content-Length': '0' })))], reads: true })))

    for (const door of ['readiness', 'metrics', 'peers']) {
      // Guards against a port beside that of callers, whose connections have no bound.
      crowd(`open connections to the port of ${door} and send nothing`, { door, connections: 900, clientOf: () => ({ pieces: [], reads: true }) })

      // Guards against calls at a port beside that of callers, without a bound on one connection.
      crowd(`send thousands of calls to the port of ${door} and read nothing`, { door, connections: 60, clientOf: () => silent(renderCalls(door === 'metrics' ? '/state' : '/records/servers?from=0', 6000)) })
    }

    // Guards against bodies of calls that are no calls of an instance.
    crowd('send endless bodies to the port of peers', { door: 'peers', connections: 200, clientOf: index => silent(renderWithBody(plainRequest(index), MAX_BODY_BYTES, 10)) }, MANY_DESCRIPTORS)
  })
})
