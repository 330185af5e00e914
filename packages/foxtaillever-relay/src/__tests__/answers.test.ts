/** What callers get when backend servers answer incorrectly, incompletely or not at all. */
import { describe, it } from 'foxtaillever-testing'
import { Repeatability } from '../model/routing.js'
import { respondAs, ServerBehaviour } from '../__fixtures__/serverBehaviour.js'
import { RelayRig } from '../__fixtures__/relayRig.js'
import { chunk, streamHead, wholeAnswer, type Arrival } from '../__fixtures__/scriptedServer.js'

const stream = { isStream: true, isResumable: true }

describe('answer handling', () => {
  // A server sends more bytes after a complete answer, in the same packet. The
  // caller has been served, and a failure would make it retry.
  it('passes on a complete answer that unexpected bytes follow', async t => {
    for (const extra of ['rubbish', wholeAnswer({ id: 'x', head: '', body: '', connection: 0, socket: undefined as never }, 'other')]) {
      const rig = await RelayRig.start({}, arrival => arrival.socket.write(wholeAnswer(arrival, 'hello') + extra))
      const text = await rig.sendRequest('a')
      t.regex(text, /^HTTP\/1.1 200 [^]*\r\n\r\nhello$/)
      rig.stop()
    }
  })

  // A faulty server answers 503 to a request that it has begun to run. Passed on,
  // the status would promise that it never ran, and the caller would order twice.
  it('does not pass on a not-run promise that the server did not give', async t => {
    for (const status of ['503 Busy', '429 Busy', '408 Slow']) {
      const rig = await RelayRig.start({}, arrival => arrival.socket.write(wholeAnswer(arrival, '', status)))
      t.regex(await rig.sendRequest('a'), /^HTTP\/1.1 502 /)
      rig.stop()
    }
  })

  // An answer without a body has no Content-Length; a caller's strict parser
  // rejects one that has.
  it('passes on an answer that has no body', async t => {
    const rig = await RelayRig.start({}, ({ id, socket }) => socket.write(`HTTP/1.1 204 Done\r\nrequest-id: ${id}\r\nstamp: s\r\n\r\n`))
    const text = await rig.sendRequest('a')
    t.regex(text, /^HTTP\/1.1 204 /)
    t.notRegex(text, /content-length|transfer-encoding/i)
    rig.stop()
  })

  it('passes on a refusal as a refusal, after an attempt at another server', async t => {
    const refuse = (arrival: Parameters<typeof wholeAnswer>[0]): void => { arrival.socket.write(wholeAnswer(arrival, '', '503 Busy', 'not-run: 1')) }
    const rig = await RelayRig.start({}, refuse, refuse)
    t.regex(await rig.sendRequest('a'), /^HTTP\/1.1 503 [^]*retry-after/i)
    t.is(rig.arrivals, 2)
    rig.stop()
  })

  // An answer without a length ends with its connection. If a reset that arrives
  // with the last bytes passed for that end, a truncated answer would look complete.
  it('distinguishes the end of an answer without a length from a reset', async t => {
    const expected = { [ServerBehaviour.Unframed]: /^HTTP\/1.1 200 [^]*the body of a$/, [ServerBehaviour.UnframedReset]: /^HTTP\/1.1 502 / }
    for (const behaviour of [ServerBehaviour.Unframed, ServerBehaviour.UnframedReset] as const) {
      const rig = await RelayRig.start({}, arrival => respondAs(behaviour, false, arrival))
      t.regex(await rig.sendRequest('a'), expected[behaviour])
      rig.stop()
    }
  })

  // A server that announces no length crashes in the middle of an event. The end
  // of its connection looks like the end of the stream.
  it('does not end a stream that was cut in the middle of an event', async t => {
    const rig = await RelayRig.start({ isStream: true }, arrival => arrival.socket.end(`${streamHead(arrival, false)}id: 1\n\nid: 2\nda`))
    const text = await rig.sendRequest('a')
    t.true(text.includes('id: 1\n\n'))
    t.false(text.includes('0\r\n\r\n'))
    rig.stop()
  })

  // The server of a resumable stream crashes, and the next server starts from the
  // first event instead of resuming: the caller would get an event twice.
  it('does not pass on an event twice', async t => {
    const cut = (arrival: Parameters<typeof streamHead>[0]): void => { arrival.socket.end(streamHead(arrival) + chunk('id: 1\n\n') + chunk('id: 2\n\n')) }
    const rig = await RelayRig.start(stream, cut, arrival => arrival.socket.write(streamHead(arrival) + chunk('id: 1\n\n') + chunk('id: 2\n\n') + chunk('id: 3\n\n') + '0\r\n\r\n'))
    const text = await rig.sendRequest('a')
    t.is(text.split('id: 1\n').length - 1, 1)
    t.false(text.endsWith('0\r\n\r\n'))
    rig.stop()
  })

  it('resumes a stream at another server', async t => {
    const rig = await RelayRig.start(stream,
      arrival => arrival.socket.end(streamHead(arrival) + chunk('id: 1\n\n') + chunk('id: 2')),
      arrival => arrival.socket.write(streamHead(arrival) + chunk('id: 2\n\n') + '0\r\n\r\n'))
    const text = await rig.sendRequest('a')
    t.regex(text, /id: 1\n\n[^]*id: 2\n\n[^]*0\r\n\r\n$/)
    t.regex(rig.servers[1]?.arrivals[0]?.head ?? '', /after: 1/)
    rig.stop()
  })

  // A stream broke off, and the server that should resume it answers with an
  // error. If the stream ended there, it would look complete to the caller.
  it('breaks off a stream that another server refuses to resume', async t => {
    const rig = await RelayRig.start({ ...stream, mostAttempts: 3 },
      arrival => arrival.socket.end(streamHead(arrival) + chunk('id: 1\n\n')),
      arrival => arrival.socket.write(wholeAnswer(arrival, 'gone', '400 Bad')))
    t.false((await rig.sendRequest('a')).endsWith('0\r\n\r\n'))
    rig.stop()
  })

  it('sends a request that may run once to one server only, whatever happens there', async t => {
    const rig = await RelayRig.start({}, arrival => arrival.socket.destroy(), arrival => arrival.socket.write(wholeAnswer(arrival, 'twice')))
    t.regex(await rig.sendRequest('a'), /^HTTP\/1.1 502 /)
    t.is(rig.arrivals, 1)
    rig.stop()
  })
})

describe('reused connections', () => {
  const hold = 'keep-alive: timeout=60'

  // A server answers each request correctly, and a moment later sends an answer
  // to no request, when the next request is already on the connection. That
  // request may have run, so an order fails whenever it uses such a connection.
  it('with answers to other requests fail one request, not each that may run once', async t => {
    const seen = new Set<number>()
    const rig = await RelayRig.start({}, arrival => {
      const answered = seen.has(arrival.connection) ? { ...arrival, id: 'another' } : arrival
      seen.add(arrival.connection)
      arrival.socket.write(wholeAnswer(answered, 'hello', '200 OK', hold))
    })
    t.regex(await rig.sendRequest('a'), /^HTTP\/1.1 200 /)
    t.regex(await rig.sendRequest('b'), /^HTTP\/1.1 502 /)
    for (const id of ['c', 'd', 'e']) {
      t.regex(await rig.sendRequest(id), /^HTTP\/1.1 200 /)
    }
    rig.stop()
  })

  it('are used again when none has failed for a while', async t => {
    const rig = await RelayRig.start({}, arrival => { arrival.socket.write(wholeAnswer(arrival, 'hello', '200 OK', hold)) })
    rig.directory.observations.distrustIdleConnections('s', rig.clock.now())
    await rig.sendRequest('a')
    await rig.sendRequest('b')
    await rig.clock.advanceBy(10_000)
    await rig.sendRequest('c')
    await rig.sendRequest('d')
    t.deepEqual(rig.servers[0]?.arrivals.map(({ connection }) => connection), [0, 1, 2, 2])
    rig.stop()
  })

  // A server drops connections that are idle for a third of a second, without
  // closing them. An order sent on one is lost, and it is unknown whether it ran.
  it('that were idle are not used for requests that may run once', async t => {
    const forgotten = new Set<number>()
    const rig = await RelayRig.start({}, arrival => {
      if (forgotten.has(arrival.connection)) {
        arrival.socket.destroy()
      } else {
        arrival.socket.write(wholeAnswer(arrival, 'hello', '200 OK', hold))
      }
    })
    for (const [index, id] of ['a', 'b', 'c'].entries()) {
      t.regex(await rig.sendRequest(id), /^HTTP\/1.1 200 /)
      t.regex(await rig.sendRequest(`${id}-at-once`), /^HTTP\/1.1 200 /)
      forgotten.add(index)
      await rig.clock.advanceBy(300)
    }
    t.deepEqual(rig.servers[0]?.arrivals.map(({ connection }) => connection), [0, 0, 1, 1, 2, 2])
    rig.stop()
  })

  it('stay in use for requests that may run twice', async t => {
    const rig = await RelayRig.start({ repeatability: Repeatability.Idempotent }, arrival => { arrival.socket.write(wholeAnswer(arrival, 'hello', '200 OK', hold)) })
    rig.directory.observations.distrustIdleConnections('s', rig.clock.now())
    await rig.sendRequest('a')
    await rig.sendRequest('b')
    t.deepEqual(rig.servers[0]?.arrivals.map(({ connection }) => connection), [0, 0])
    rig.stop()
  })
})

describe('silence', () => {
  // A connection goes silent forever and is not closed. The caller of a request
  // that may run twice would wait in vain until its deadline.
  it('leads to an attempt at another server if the request may run twice', async t => {
    const rig = await RelayRig.start({ repeatability: Repeatability.Idempotent }, () => {}, arrival => arrival.socket.write(wholeAnswer(arrival, 'hello')))
    const answer = rig.sendRequest('a')
    await rig.servers[0]?.arrived(1)
    await rig.clock.advanceBy(1000)
    t.regex(await answer, /^HTTP\/1.1 200 [^]*hello$/)
    rig.stop()
  })

  // An engine computes large prompts one after another. An abandoned prompt is
  // computed from the beginning at another engine and delays requests there.
  it('is tolerated while the server has started no newer request', async t => {
    const rig = await RelayRig.start(stream, () => {}, arrival => arrival.socket.write(streamHead(arrival) + chunk('id: 1\n\n') + '0\r\n\r\n'))
    const queued = rig.sendRequest('a')
    await rig.servers[0]?.arrived(1)
    await rig.clock.advanceBy(3000)
    t.is(rig.arrivals, 1)
    rig.runs.abort()
    await queued
    rig.stop()
  })

  it('of a server that skips a request sends that request elsewhere', async t => {
    const whole = (arrival: Parameters<typeof streamHead>[0]): void => { arrival.socket.write(streamHead(arrival) + chunk('id: 1\n\n') + '0\r\n\r\n') }
    const rig = await RelayRig.start(stream, arrival => {
      if (arrival.id !== 'a') {
        whole(arrival)
      }
    }, whole)
    const lost = rig.sendRequest('a')
    await rig.servers[0]?.arrived(1)
    await rig.clock.advanceBy(100)
    await rig.sendRequest('b')
    await rig.clock.advanceBy(1000)
    t.regex(await lost, /^HTTP\/1.1 200 [^]*id: 1/)
    t.is(rig.servers[1]?.arrivals.length, 1)
    rig.stop()
  })

  it('makes a request that may run once wait for its deadline', async t => {
    const rig = await RelayRig.start({}, () => {}, arrival => arrival.socket.write(wholeAnswer(arrival, 'twice')))
    const answer = rig.sendRequest('a')
    await rig.servers[0]?.arrived(1)
    await rig.clock.advanceBy(9000)
    t.is(rig.arrivals, 1)
    await rig.clock.advanceBy(2000)
    t.regex(await answer, /^HTTP\/1.1 504 /)
    rig.stop()
  })

  // Connections of the same age go silent together. After the first, each request
  // on another one would have to detect the silence by itself.
  it('closes the other idle connections to the server', async t => {
    const held: Array<() => void> = []
    let isSilent = false
    const rig = await RelayRig.start({}, arrival => {
      if (!isSilent) {
        held.push(() => arrival.socket.write(wholeAnswer(arrival, 'hello', '200 OK', 'keep-alive: timeout=60')))
      }
    })
    const answers = [rig.sendRequest('a'), rig.sendRequest('b')]
    await rig.servers[0]?.arrived(2)
    held.forEach(answer => answer())
    await Promise.all(answers)
    isSilent = true
    const silent = rig.sendRequest('c')
    await rig.servers[0]?.arrived(3)
    const used = rig.servers[0]?.arrivals[2]?.connection ?? 0
    await rig.clock.advanceBy(2000)
    await rig.servers[0]?.closed(1 - used)
    await rig.clock.advanceBy(10_000)
    t.regex(await silent, /^HTTP\/1.1 504 /)
    rig.stop()
  })
})

/** Instances have decided by then what a crash says, milliseconds. */
const DECIDED_WITHIN_MS = 100

/** Ends the connection of a request that ran for a moment. */
function crashAfterRunning (rig: RelayRig, { socket }: Arrival, ms = 20): void {
  rig.clock.advanceBy(ms).then(() => socket.destroy(), error => { throw error })
}

describe('requests that crash servers', () => {
  // One request crashes each server that runs it, and its caller retries it
  // repeatedly. Each crash loses all requests that run on that server.
  it('are refused before they crash a fourth server', async t => {
    const rig: RelayRig = await RelayRig.start({}, ...Array.from({ length: 4 }, () => (arrival: Arrival) => crashAfterRunning(rig, arrival)))
    for (const [index, id] of ['a', 'b', 'c'].entries()) {
      t.regex(await rig.sendRequest(id, 'poison'), /^HTTP\/1.1 502 /)
      rig.directory.remove(`s${index}`, 100 + index)
      await rig.clock.advanceBy(DECIDED_WITHIN_MS)
    }
    t.regex(await rig.sendRequest('d', 'poison'), /^HTTP\/1.1 503 [^]*not_run/)
    t.is(rig.arrivals, 3)
    rig.stop()
  })

  // Guards against requests whose crashes are not counted because the servers end as soon as they have read the head.
  for (const ms of [0, 1, 2, 3, 5]) {
    it(`are refused if the servers crash ${ms} ms after they arrive`, async t => {
      const rig: RelayRig = await RelayRig.start({}, ...Array.from({ length: 4 }, () => (arrival: Arrival) => crashAfterRunning(rig, arrival, ms)))
      for (const [index, id] of ['a', 'b', 'c'].entries()) {
        t.regex(await rig.sendRequest(id, 'poison'), /^HTTP\/1.1 502 /)
        rig.directory.remove(`s${index}`, 100 + index)
        await rig.clock.advanceBy(DECIDED_WITHIN_MS)
      }
      t.regex(await rig.sendRequest('d', 'poison'), /^HTTP\/1.1 503 [^]*quarantined/)
      rig.stop()
    })
  }

  it('are refused by an instance that never received them', async t => {
    const rig: RelayRig = await RelayRig.start({}, ...Array.from({ length: 3 }, () => (arrival: Arrival) => crashAfterRunning(rig, arrival)))
    for (const [index, id] of ['a', 'b', 'c'].entries()) {
      await rig.sendRequest(id, 'poison')
      rig.directory.remove(`s${index}`, 100 + index)
      await rig.clock.advanceBy(DECIDED_WITHIN_MS)
    }
    const other = await RelayRig.start({}, arrival => arrival.socket.write(wholeAnswer(arrival, 'hello')))
    other.crashes.applyQuarantines(rig.crashes.quarantinesToAnnounce())
    t.regex(await other.sendRequest('d', 'poison'), /^HTTP\/1.1 503 /)
    t.regex(await other.sendRequest('e', 'harmless'), /^HTTP\/1.1 200 /)
    rig.stop()
    other.stop()
  })

  // Many callers request the same page, so it is in flight at each crash that other requests cause.
  it('are not confused with a request that succeeds elsewhere', async t => {
    const outcomes = ['crash', 'crash', 'well', 'crash', 'well']
    const rig: RelayRig = await RelayRig.start({}, ...outcomes.map(outcome => (arrival: Arrival) => {
      if (outcome === 'crash') {
        crashAfterRunning(rig, arrival)
      } else {
        arrival.socket.write(wholeAnswer(arrival, 'hello'))
      }
    }))
    for (const [index, outcome] of outcomes.entries()) {
      t.regex(await rig.sendRequest(`${index}`, 'page'), outcome === 'crash' ? /^HTTP\/1.1 502 / : /^HTTP\/1.1 200 /)
      rig.directory.remove(`s${index}`, 100 + index)
      await rig.clock.advanceBy(DECIDED_WITHIN_MS)
    }
    rig.stop()
  })
})
