import { describe, it } from 'foxtaillever-testing'
import { readAll, RelayRig, type LogLine } from '../../__fixtures__/relayRig.js'
import { chunk, streamHead, wholeAnswer, type Answer, type Arrival } from '../../__fixtures__/scriptedServer.js'
import type { Route } from '../../model/routing.js'

const stream = { isStream: true, isResumable: true, timeoutMs: 800 }

const EVENTS = 'id: 1\ndata: x\n\nid: 2\ndata: x\n\n'

/** A server that sends two events and nothing more. */
function pause (arrival: Arrival): void {
  arrival.socket.write(streamHead(arrival) + chunk(EVENTS))
}

interface Cut {
  readonly line: LogLine | undefined
  readonly metrics: string
}

/** Sends a request and returns what is known of its failure. */
async function cutBy (end: (rig: RelayRig) => Promise<void> | void, answer: Answer, route: Partial<Route> = stream): Promise<Cut> {
  const rig = await RelayRig.start(route, answer)
  const socket = rig.connect()
  const received = readAll(socket)
  const begun = new Promise(resolve => socket.once('data', resolve))
  socket.write('POST /p HTTP/1.1\r\nhost: h\r\nrequest-id: a\r\nconnection: close\r\ncontent-length: 0\r\n\r\n')
  await begun
  await end(rig)
  await received
  rig.stop()
  return { line: rig.lines.find(({ msg }) => msg === 'requests: Ended: failed.'), metrics: rig.log.metrics.render() }
}

// Guards against a cut stream whose cause does not show in the log: whether its server still worked, how much its caller has, and who ended it.
describe('the log line of an answer that has begun and is cut', () => {
  it('says how much was passed on and that the server still worked, if its time is up', async t => {
    const { line, metrics } = await cutBy(async rig => await rig.clock.advanceBy(900), pause)
    t.like(line, { request: 'a', outcome: 'deadline_passed', attempt: 'in-flight', servers: 's0', events: 2, bytes: EVENTS.length, lastEventId: '2', lastByteMsAgo: 840, unsentBytes: 0, revisionAtStart: 1 })
    t.regex(metrics, /answers_cut_total\{cause="deadline_passed",attempt="in-flight"\} 1/)
  })

  it('says that the shutdown ended it', async t => {
    const { line, metrics } = await cutBy(rig => rig.runs.abort(), pause)
    t.like(line, { outcome: 'leaving', attempt: 'in-flight', events: 2 })
    t.regex(metrics, /answers_cut_total\{cause="leaving",attempt="in-flight"\} 1/)
  })

  it('says how the last attempt ended, if no other follows', async t => {
    let server: Arrival | undefined
    const { line, metrics } = await cutBy(() => { server?.socket.end() }, arrival => {
      server = arrival
      pause(arrival)
    })
    t.like(line, { outcome: 'connection_lost', attempt: 'lost', events: 2, lastEventId: '2' })
    t.regex(metrics, /answers_cut_total\{cause="connection_lost",attempt="lost"\} 1/)
  })

  it('counts the bytes of an answer without events', async t => {
    const body = 'x'.repeat(300_000)
    const { line } = await cutBy(rig => rig.runs.abort(), arrival => { arrival.socket.write(wholeAnswer(arrival, body).slice(0, -1)) }, {})
    t.true(Number(line?.bytes) > 250_000)
    t.is(line?.events, 0)
  })

  it('differs from that of a request whose answer has not begun', async t => {
    const { line, metrics } = await cutBy(() => {}, arrival => { arrival.socket.end() })
    t.is(line?.outcome, 'connection_lost')
    t.is(line?.attempt, undefined)
    t.false(metrics.includes('answers_cut_total'))
  })
})
