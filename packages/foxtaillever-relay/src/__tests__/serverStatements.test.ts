import { describe, it } from 'foxtaillever-testing'
import { RelayRig } from '../__fixtures__/relayRig.js'
import { wholeAnswer, type Answer, type Arrival } from '../__fixtures__/scriptedServer.js'

const LEAVING = 'leaving: 1'

const answerWell: Answer = arrival => { arrival.socket.write(wholeAnswer(arrival, 'done')) }

const other: Pick<Arrival, 'id'> = { id: 'other' }

/** Answers that state that the server leaves; some have other faults. */
const leavingAnswers: Readonly<Record<string, Answer>> = {
  'a complete answer': arrival => { arrival.socket.write(wholeAnswer(arrival, 'done', '200 OK', LEAVING)) },
  'an answer that breaks off': arrival => { arrival.socket.end(wholeAnswer(arrival, 'done', '200 OK', LEAVING).slice(0, -2)) },
  'a rejection': arrival => { arrival.socket.write(wholeAnswer(arrival, '', '503 Full', 'not-run: 1', LEAVING)) },
  'a rejection without proof': arrival => { arrival.socket.write(wholeAnswer(arrival, '', '503 Full', LEAVING)) },
  'a failure': arrival => { arrival.socket.write(wholeAnswer(arrival, 'failed', '500 Failed', LEAVING)) },
  'an answer to another request': arrival => { arrival.socket.write(wholeAnswer({ ...arrival, ...other }, 'done', '200 OK', LEAVING)) },
  'an answer without a stamp': arrival => { arrival.socket.write(`HTTP/1.1 200 OK\r\nrequest-id: ${arrival.id}\r\n${LEAVING}\r\ncontent-length: 2\r\n\r\nhm`) }
}

describe('a server that states in an answer that it leaves', () => {
  for (const [name, answer] of Object.entries(leavingAnswers)) {
    // Guards against statements that count only in answers that are passed on.
    it(`gets no more requests after ${name}`, async t => {
      const rig = await RelayRig.start({}, answer, answerWell)
      await rig.sendRequest('first')
      await rig.sendRequest('second')
      await rig.sendRequest('third')
      t.is(rig.servers[0]?.arrivals.length, 1)
      rig.stop()
    })
  }

  // Guards against a statement of one server that is applied to another server at the same address.
  it('states this about itself only', async t => {
    const rig = await RelayRig.start({}, arrival => { arrival.socket.write(wholeAnswer(arrival, 'done', '200 OK', LEAVING, 'server: s9')) })
    await rig.sendRequest('first')
    await rig.sendRequest('second')
    t.is(rig.servers[0]?.arrivals.length, 2)
    rig.stop()
  })

  // Guards against requests that were assigned to the server before the statement and sent after it.
  it('gets no request whose connection was still being made, and another server runs it', async t => {
    const rig = await RelayRig.start({}, answerWell, answerWell)
    rig.onLoadChanged = () => { rig.directory.markLeaving('s0', rig.clock.now()) }
    t.regex(await rig.sendRequest('first'), /^HTTP\/1.1 200/)
    t.deepEqual(rig.servers.map(({ arrivals }) => arrivals.length), [0, 1])
    rig.stop()
  })

  // Guards against sending on a reused connection without checking the server's state.
  it('gets no request on a reused connection either', async t => {
    const rig = await RelayRig.start({}, answerWell, answerWell)
    await rig.sendRequest('first')
    rig.onLoadChanged = () => { rig.directory.markLeaving('s0', rig.clock.now()) }
    t.regex(await rig.sendRequest('second'), /^HTTP\/1.1 200/)
    t.deepEqual(rig.servers.map(({ arrivals }) => arrivals.length), [1, 1])
    rig.stop()
  })

  // Guards against callers that wait although no server is left.
  it('has its requests rejected at once if it was the only server', async t => {
    const rig = await RelayRig.start({}, arrival => { arrival.socket.write(wholeAnswer(arrival, 'done', '200 OK', LEAVING)) })
    await rig.sendRequest('first')
    t.regex(await rig.sendRequest('second'), /^HTTP\/1.1 503[^]*retry-after/i)
    rig.stop()
  })
})

const RETRY_AFTER = 'retry-after: 3'
const BACKOFF_MS = 3000

/** Rejects requests that arrive before a time, with Retry-After. */
function backOffUntil (until: () => number, now: () => number): Answer {
  return arrival => { arrival.socket.write(now() < until() ? wholeAnswer(arrival, '', '503 Full', 'not-run: 1', RETRY_AFTER) : wholeAnswer(arrival, 'done')) }
}

/** Answers with Retry-After; some have other faults. */
const backoffAnswers: Readonly<Record<string, Answer>> = {
  'a rejection': arrival => { arrival.socket.write(wholeAnswer(arrival, '', '503 Full', 'not-run: 1', RETRY_AFTER)) },
  'a rejection without proof': arrival => { arrival.socket.write(wholeAnswer(arrival, '', '503 Full', RETRY_AFTER)) },
  'an answer to another request': arrival => { arrival.socket.write(wholeAnswer({ ...arrival, ...other }, '', '503 Full', 'not-run: 1', RETRY_AFTER)) },
  'an answer that breaks off': arrival => { arrival.socket.end(wholeAnswer(arrival, 'full', '503 Full', 'not-run: 1', RETRY_AFTER).slice(0, -2)) }
}

describe('a server that sends Retry-After in an answer', () => {
  for (const [name, answer] of Object.entries(backoffAnswers)) {
    it(`gets no request until the backoff ends after ${name}`, async t => {
      const rig = await RelayRig.start({}, answer, answerWell)
      for (const id of ['first', 'second', 'third']) {
        await rig.sendRequest(id)
        await rig.clock.advanceBy(BACKOFF_MS / 3 - 1)
      }
      t.is(rig.servers[0]?.arrivals.length, 1)
      await rig.clock.advanceBy(3)
      await rig.sendRequest('fourth')
      t.is(rig.servers[0]?.arrivals.length, 2)
      rig.stop()
    })
  }

  // Guards against an estimated retry time although the server has stated one.
  it('has its requests rejected at once if it was the only server, with the end of the backoff as the retry time', async t => {
    const rig = await RelayRig.start({}, arrival => { arrival.socket.write(wholeAnswer(arrival, '', '503 Full', 'not-run: 1', RETRY_AFTER)) })
    await rig.sendRequest('first')
    await rig.clock.advanceBy(1000)
    t.regex(await rig.sendRequest('second'), /^HTTP\/1.1 503[^]*retry-after: 2\.1/i)
    t.is(rig.servers[0]?.arrivals.length, 1)
    rig.stop()
  })

  // Guards against a long retry time while another server has capacity.
  it('does not delay retries of callers whose request failed at another server meanwhile', async t => {
    const rig = await RelayRig.start({ mostAttempts: 3 }, arrival => { arrival.socket.write(wholeAnswer(arrival, '', '503 Full', 'not-run: 1', RETRY_AFTER)) }, arrival => { arrival.socket.write(wholeAnswer(arrival, '', '503 Full', 'not-run: 1')) })
    await rig.sendRequest('first')
    t.regex(await rig.sendRequest('second'), /^HTTP\/1.1 503[^]*retry-after: 0\.3/i)
    rig.stop()
  })

  // Guards against requests that were assigned to the server before it sent Retry-After and are sent after it.
  it('gets no request whose connection was still being made, and another server runs it', async t => {
    const rig = await RelayRig.start({}, answerWell, answerWell)
    rig.onLoadChanged = () => { rig.directory.newestStatedState('s0')?.recordBackoff(rig.clock.now() + BACKOFF_MS, rig.clock.now()) }
    t.regex(await rig.sendRequest('first'), /^HTTP\/1.1 200/)
    t.deepEqual(rig.servers.map(({ arrivals }) => arrivals.length), [0, 1])
    rig.stop()
  })

  // Guards against a burst of the requests that the server did not get during its backoff.
  it('gets one request when the backoff ends, and all again once it has accepted that request', async t => {
    let availableAt = Infinity
    const rig: RelayRig = await RelayRig.start({}, backOffUntil(() => availableAt, () => rig.clock.now()), answerWell)
    const arrived = (): number => rig.servers[0]?.arrivals.length ?? 0
    await rig.sendRequest('first')
    await rig.clock.advanceBy(BACKOFF_MS)
    await Promise.all(['a', 'b', 'c', 'd'].map(async id => await rig.sendRequest(id)))
    t.is(arrived(), 2)
    availableAt = rig.clock.now() + BACKOFF_MS
    await rig.clock.advanceBy(BACKOFF_MS)
    await rig.sendRequest('e')
    await rig.sendRequest('f')
    t.is(arrived(), 4)
    rig.stop()
  })
})
