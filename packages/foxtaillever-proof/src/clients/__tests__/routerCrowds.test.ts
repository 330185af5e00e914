import { describe, it } from 'foxtaillever-testing'
import type { Client, Crowd } from '../crowd.js'
import { checkCrowd } from '../limitedProcess.js'
import { completion, completionRequest, MAX_BODY_BYTES, startLimitedRouter } from '../limitedRouter.js'
import { renderHead, renderOpenHead, renderTinyChunks, renderTinyHeaderLines } from '../requestTexts.js'

const ALL_DESCRIPTORS = 4100

const SMALL = completion('a prompt', 4)
const SMALL_REQUEST = `${renderHead(completionRequest(SMALL.length))}${SMALL}`
const LARGE = completion('.'.repeat(100_000), 4)
const LARGE_REQUEST = Buffer.from(`${renderHead(completionRequest(LARGE.length))}${LARGE}`)
const OPEN_REQUEST = Buffer.from(`${renderHead(completionRequest(MAX_BODY_BYTES))}${'.'.repeat(MAX_BODY_BYTES - 10)}`)

/** JSON whose values take many times their bytes in the heap. */
const DENSE = `{"model":"order-language","prompt":"p","x":[${'[],'.repeat((MAX_BODY_BYTES - 100) / 3)}[]]}`
const DENSE_REQUEST = Buffer.from(`${renderHead(completionRequest(DENSE.length))}${DENSE}`)

const TINY_CHUNKS = renderTinyChunks(MAX_BODY_BYTES)
const TINY_LINES = 3800

function silent (...pieces: readonly Buffer[]): Client {
  return { pieces, reads: false }
}

function crowd (name: string, connections: number, clientOf: Crowd['clientOf'], descriptors?: number, door = 'callers'): void {
  it(name, async t => {
    await checkCrowd(t, await startLimitedRouter(descriptors), { connections, door, clientOf })
  })
}

describe('the project\'s own entry process', () => {
  describe('lives, within its memory and descriptors, and answers afterwards if clients', () => {
    // Guards against requests that are taken on one connection without a bound.
    crowd('send thousands of requests on a few connections and read nothing', 60, () => silent(Buffer.from(SMALL_REQUEST.repeat(3000))))

    // Guards against requests in progress without a bound.
    crowd('send many requests at once, and half of them leave', 2500, index => ({ ...silent(Buffer.from(SMALL_REQUEST)), ...(index % 2 === 0 ? { leavesAfterMs: 100 + index % 1400 } : {}) }), ALL_DESCRIPTORS)

    // Guards against heads that take many times their bytes in the heap.
    crowd('send heads of thousands of lines that do not end', 2200, () => silent(Buffer.from(renderOpenHead(completionRequest(10)) + renderTinyHeaderLines(TINY_LINES))), ALL_DESCRIPTORS)

    // Guards against bodies that are held until their last byte.
    crowd('send bodies that do not end', 250, () => silent(OPEN_REQUEST), ALL_DESCRIPTORS)

    // Guards against bodies of requests that wait for an engine.
    crowd('send whole bodies, whose requests wait', 1200, () => silent(LARGE_REQUEST), ALL_DESCRIPTORS)

    // Guards against bodies that take many times their bytes once they are parsed.
    crowd('send bodies of many small values', 300, () => silent(DENSE_REQUEST))

    // Guards against an event loop that is busy with the chunks of bodies only.
    crowd('send bodies in chunks of one byte', 200, () => silent(Buffer.from(renderHead(completionRequest())), TINY_CHUNKS))

    for (const door of ['callers', 'control']) {
      // Guards against idle connections that take all descriptors.
      crowd(`open connections to the port of ${door} and send nothing`, 900, () => ({ pieces: [], reads: true }), undefined, door)
    }

    // Guards against calls for metrics without a bound on one connection.
    crowd('send thousands of calls for metrics and read nothing', 60, () => silent(Buffer.from('GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n'.repeat(6000))), undefined, 'control')
  })
})
