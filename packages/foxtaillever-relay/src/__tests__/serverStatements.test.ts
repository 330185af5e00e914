import { describe, it } from 'foxtaillever-testing'
import { RelayRig } from '../__fixtures__/relayRig.js'
import { wholeAnswer, type Answer, type Arrival } from '../__fixtures__/scriptedServer.js'

const LEAVING = 'leaving: 1'

const answerWell: Answer = arrival => { arrival.socket.write(wholeAnswer(arrival, 'done')) }

const other: Pick<Arrival, 'id'> = { id: 'other' }

/** Answers that say that the server leaves, whatever else is wrong with them. */
const leavingAnswers: Readonly<Record<string, Answer>> = {
  'a whole one': arrival => { arrival.socket.write(wholeAnswer(arrival, 'done', '200 OK', LEAVING)) },
  'one that breaks off': arrival => { arrival.socket.end(wholeAnswer(arrival, 'done', '200 OK', LEAVING).slice(0, -2)) },
  'a rejection': arrival => { arrival.socket.write(wholeAnswer(arrival, '', '503 Full', 'not-run: 1', LEAVING)) },
  'a rejection without proof': arrival => { arrival.socket.write(wholeAnswer(arrival, '', '503 Full', LEAVING)) },
  'a failure': arrival => { arrival.socket.write(wholeAnswer(arrival, 'failed', '500 Failed', LEAVING)) },
  'one to another request': arrival => { arrival.socket.write(wholeAnswer({ ...arrival, ...other }, 'done', '200 OK', LEAVING)) },
  'one without a stamp': arrival => { arrival.socket.write(`HTTP/1.1 200 OK\r\nrequest-id: ${arrival.id}\r\n${LEAVING}\r\ncontent-length: 2\r\n\r\nhm`) }
}

describe('a server that says in an answer that it leaves', () => {
  for (const [name, answer] of Object.entries(leavingAnswers)) {
    // Guards against words that count only in answers that are passed on.
    it(`gets nothing more after ${name}`, async t => {
      const rig = await RelayRig.start({}, answer, answerWell)
      await rig.ask('first')
      await rig.ask('second')
      await rig.ask('third')
      t.is(rig.servers[0]?.arrivals.length, 1)
      rig.stop()
    })
  }

  // Guards against words of one server that count against another at its address.
  it('speaks for itself alone', async t => {
    const rig = await RelayRig.start({}, arrival => { arrival.socket.write(wholeAnswer(arrival, 'done', '200 OK', LEAVING, 'server: s9')) })
    await rig.ask('first')
    await rig.ask('second')
    t.is(rig.servers[0]?.arrivals.length, 2)
    rig.stop()
  })

  // Guards against requests that were placed before the word and sent after it.
  it('gets no request whose connection was still being made, and another server runs it', async t => {
    const rig = await RelayRig.start({}, answerWell, answerWell)
    rig.onLoadChanged = () => { rig.directory.observeLeaving('s0', rig.clock.now()) }
    t.regex(await rig.ask('first'), /^HTTP\/1.1 200/)
    t.deepEqual(rig.servers.map(({ arrivals }) => arrivals.length), [0, 1])
    rig.stop()
  })

  // Guards against a kept connection that is taken for leave to send.
  it('gets no request on a kept connection either', async t => {
    const rig = await RelayRig.start({}, answerWell, answerWell)
    await rig.ask('first')
    rig.onLoadChanged = () => { rig.directory.observeLeaving('s0', rig.clock.now()) }
    t.regex(await rig.ask('second'), /^HTTP\/1.1 200/)
    t.deepEqual(rig.servers.map(({ arrivals }) => arrivals.length), [1, 1])
    rig.stop()
  })

  // Guards against callers that wait where nobody is left to serve them.
  it('leaves its callers a rejection at once where it was the only one', async t => {
    const rig = await RelayRig.start({}, arrival => { arrival.socket.write(wholeAnswer(arrival, 'done', '200 OK', LEAVING)) })
    await rig.ask('first')
    t.regex(await rig.ask('second'), /^HTTP\/1.1 503[^]*retry-after/i)
    rig.stop()
  })
})

const RESTING = 'retry-after: 3'
const REST_MS = 3000

/** Turns away what comes before the time, and asks for rest. */
function restUntil (until: () => number, now: () => number): Answer {
  return arrival => { arrival.socket.write(now() < until() ? wholeAnswer(arrival, '', '503 Full', 'not-run: 1', RESTING) : wholeAnswer(arrival, 'done')) }
}

/** Answers that ask for rest, whatever else is wrong with them. */
const restingAnswers: Readonly<Record<string, Answer>> = {
  'a rejection': arrival => { arrival.socket.write(wholeAnswer(arrival, '', '503 Full', 'not-run: 1', RESTING)) },
  'a rejection without proof': arrival => { arrival.socket.write(wholeAnswer(arrival, '', '503 Full', RESTING)) },
  'one to another request': arrival => { arrival.socket.write(wholeAnswer({ ...arrival, ...other }, '', '503 Full', 'not-run: 1', RESTING)) },
  'one that breaks off': arrival => { arrival.socket.end(wholeAnswer(arrival, 'full', '503 Full', 'not-run: 1', RESTING).slice(0, -2)) }
}

describe('a server that asks for rest in an answer', () => {
  for (const [name, answer] of Object.entries(restingAnswers)) {
    it(`gets nothing until its end after ${name}`, async t => {
      const rig = await RelayRig.start({}, answer, answerWell)
      for (const id of ['first', 'second', 'third']) {
        await rig.ask(id)
        await rig.clock.advanceBy(REST_MS / 3 - 1)
      }
      t.is(rig.servers[0]?.arrivals.length, 1)
      await rig.clock.advanceBy(3)
      await rig.ask('fourth')
      t.is(rig.servers[0]?.arrivals.length, 2)
      rig.stop()
    })
  }

  // Guards against a time to come back that is a guess where the server has named one.
  it('leaves its callers a rejection at once where it was the only one, and they are told its end', async t => {
    const rig = await RelayRig.start({}, arrival => { arrival.socket.write(wholeAnswer(arrival, '', '503 Full', 'not-run: 1', RESTING)) })
    await rig.ask('first')
    await rig.clock.advanceBy(1000)
    t.regex(await rig.ask('second'), /^HTTP\/1.1 503[^]*retry-after: 2\.1/i)
    t.is(rig.servers[0]?.arrivals.length, 1)
    rig.stop()
  })

  // Guards against a long time to come back while another server has room.
  it('does not put off callers whom another server failed meanwhile', async t => {
    const rig = await RelayRig.start({ mostAttempts: 3 }, arrival => { arrival.socket.write(wholeAnswer(arrival, '', '503 Full', 'not-run: 1', RESTING)) }, arrival => { arrival.socket.write(wholeAnswer(arrival, '', '503 Full', 'not-run: 1')) })
    await rig.ask('first')
    t.regex(await rig.ask('second'), /^HTTP\/1.1 503[^]*retry-after: 0\.3/i)
    rig.stop()
  })

  // Guards against requests that were placed before the word and sent after it.
  it('gets no request whose connection was still being made, and another server runs it', async t => {
    const rig = await RelayRig.start({}, answerWell, answerWell)
    rig.onLoadChanged = () => { rig.directory.newestStated('s0')?.recordBackoff(rig.clock.now() + REST_MS, rig.clock.now()) }
    t.regex(await rig.ask('first'), /^HTTP\/1.1 200/)
    t.deepEqual(rig.servers.map(({ arrivals }) => arrivals.length), [0, 1])
    rig.stop()
  })

  // Guards against the burst of what was kept from the server.
  it('gets one request at its end, and all again once it has taken that', async t => {
    let wellAt = Infinity
    const rig: RelayRig = await RelayRig.start({}, restUntil(() => wellAt, () => rig.clock.now()), answerWell)
    const arrived = (): number => rig.servers[0]?.arrivals.length ?? 0
    await rig.ask('first')
    await rig.clock.advanceBy(REST_MS)
    await Promise.all(['a', 'b', 'c', 'd'].map(async id => await rig.ask(id)))
    t.is(arrived(), 2)
    wellAt = rig.clock.now() + REST_MS
    await rig.clock.advanceBy(REST_MS)
    await rig.ask('e')
    await rig.ask('f')
    t.is(arrived(), 4)
    rig.stop()
  })
})
