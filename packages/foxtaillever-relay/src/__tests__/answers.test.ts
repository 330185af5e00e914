/** What callers get when backend servers answer wrongly, in part, or not at all. */
import { describe, it } from 'foxtaillever-testing'
import { Repeatability } from '../model/routing.js'
import { play, Way } from '../__fixtures__/misbehaviour.js'
import { RelayRig } from '../__fixtures__/relayRig.js'
import { chunk, streamHead, wholeAnswer } from '../__fixtures__/scriptedServer.js'

const stream = { isStream: true, isResumable: true }

describe('answers', () => {
  // A server sends bytes after a whole answer, in the same packet. Its caller
  // has been served, and a failure would make it ask again or despair.
  it('counts a whole answer that unasked bytes follow', async t => {
    for (const extra of ['rubbish', wholeAnswer({ id: 'x', head: '', body: '', connection: 0, socket: undefined as never }, 'other')]) {
      const rig = await RelayRig.start({}, arrival => arrival.socket.write(wholeAnswer(arrival, 'hello') + extra))
      const text = await rig.ask('a')
      t.regex(text, /^HTTP\/1.1 200 [^]*\r\n\r\nhello$/)
      rig.stop()
    }
  })

  // A faulty server says 503 for a request that it has begun to run. Passed on,
  // the status would promise that it never ran, and the caller would order twice.
  it('does not pass on a promise that the server did not give', async t => {
    for (const status of ['503 Busy', '429 Busy', '408 Slow']) {
      const rig = await RelayRig.start({}, arrival => arrival.socket.write(wholeAnswer(arrival, '', status)))
      t.regex(await rig.ask('a'), /^HTTP\/1.1 502 /)
      rig.stop()
    }
  })

  // An answer without a body says no length; a caller's strict reader takes one
  // with a length for malformed.
  it('passes on an answer that has no body', async t => {
    const rig = await RelayRig.start({}, ({ id, socket }) => socket.write(`HTTP/1.1 204 Done\r\nrequest-id: ${id}\r\nstamp: s\r\n\r\n`))
    const text = await rig.ask('a')
    t.regex(text, /^HTTP\/1.1 204 /)
    t.notRegex(text, /content-length|transfer-encoding/i)
    rig.stop()
  })

  it('passes on a refusal as one, after other servers were asked', async t => {
    const refuse = (arrival: Parameters<typeof wholeAnswer>[0]): void => { arrival.socket.write(wholeAnswer(arrival, '', '503 Busy', 'not-run: 1')) }
    const rig = await RelayRig.start({}, refuse, refuse)
    t.regex(await rig.ask('a'), /^HTTP\/1.1 503 [^]*retry-after/i)
    t.is(rig.arrivals, 2)
    rig.stop()
  })

  // An answer without a length ends with its connection. A reset that comes with
  // its last bytes looks like that end, and half an order would look whole.
  it('tells the end of an answer without a length from a reset', async t => {
    const expected = { [Way.Unframed]: /^HTTP\/1.1 200 [^]*the body of a$/, [Way.UnframedReset]: /^HTTP\/1.1 502 / }
    for (const way of [Way.Unframed, Way.UnframedReset] as const) {
      const rig = await RelayRig.start({}, arrival => play(way, false, arrival))
      t.regex(await rig.ask('a'), expected[way])
      rig.stop()
    }
  })

  // A server without announced lengths crashes in the middle of an event. The
  // end of its connection looks like the end of the stream.
  it('does not end a stream that was cut in the middle of an event', async t => {
    const rig = await RelayRig.start({ isStream: true }, arrival => arrival.socket.end(`${streamHead(arrival, false)}id: 1\n\nid: 2\nda`))
    const text = await rig.ask('a')
    t.true(text.includes('id: 1\n\n'))
    t.false(text.includes('0\r\n\r\n'))
    rig.stop()
  })

  // The server of a stream that may be resumed dies, and the next one, asked for
  // the rest, begins anew: the caller would get an event twice.
  it('does not pass on an event twice', async t => {
    const cut = (arrival: Parameters<typeof streamHead>[0]): void => { arrival.socket.end(streamHead(arrival) + chunk('id: 1\n\n') + chunk('id: 2\n\n')) }
    const rig = await RelayRig.start(stream, cut, arrival => arrival.socket.write(streamHead(arrival) + chunk('id: 1\n\n') + chunk('id: 2\n\n') + chunk('id: 3\n\n') + '0\r\n\r\n'))
    const text = await rig.ask('a')
    t.is(text.split('id: 1\n').length - 1, 1)
    t.false(text.endsWith('0\r\n\r\n'))
    rig.stop()
  })

  it('goes on with a stream at another server', async t => {
    const rig = await RelayRig.start(stream,
      arrival => arrival.socket.end(streamHead(arrival) + chunk('id: 1\n\n') + chunk('id: 2')),
      arrival => arrival.socket.write(streamHead(arrival) + chunk('id: 2\n\n') + '0\r\n\r\n'))
    const text = await rig.ask('a')
    t.regex(text, /id: 1\n\n[^]*id: 2\n\n[^]*0\r\n\r\n$/)
    t.regex(rig.servers[1]?.arrivals[0]?.head ?? '', /after: 1/)
    rig.stop()
  })

  // A stream broke off, and the server asked for its rest fails with an answer
  // of its own; ended there, the caller's stream would look complete.
  it('breaks off a stream whose rest another server refuses', async t => {
    const rig = await RelayRig.start({ ...stream, mostAttempts: 3 },
      arrival => arrival.socket.end(streamHead(arrival) + chunk('id: 1\n\n')),
      arrival => arrival.socket.write(wholeAnswer(arrival, 'gone', '400 Bad')))
    t.false((await rig.ask('a')).endsWith('0\r\n\r\n'))
    rig.stop()
  })

  it('sends what runs once to one server only, whatever comes back', async t => {
    const rig = await RelayRig.start({}, arrival => arrival.socket.destroy(), arrival => arrival.socket.write(wholeAnswer(arrival, 'twice')))
    t.regex(await rig.ask('a'), /^HTTP\/1.1 502 /)
    t.is(rig.arrivals, 1)
    rig.stop()
  })
})

describe('kept connections', () => {
  const hold = 'keep-alive: timeout=60'

  // A server answers each request well and a moment later sends an answer that
  // nobody asked for, when the next request is already on the connection. That
  // one may have run, so an order fails each time it meets such a connection.
  it('that bring answers of others cost one request, not each that may run once', async t => {
    const seen = new Set<number>()
    const rig = await RelayRig.start({}, arrival => {
      const answered = seen.has(arrival.connection) ? { ...arrival, id: 'another' } : arrival
      seen.add(arrival.connection)
      arrival.socket.write(wholeAnswer(answered, 'hello', '200 OK', hold))
    })
    t.regex(await rig.ask('a'), /^HTTP\/1.1 200 /)
    t.regex(await rig.ask('b'), /^HTTP\/1.1 502 /)
    for (const id of ['c', 'd', 'e']) {
      t.regex(await rig.ask(id), /^HTTP\/1.1 200 /)
    }
    rig.stop()
  })

  it('serve again when none has failed for a while', async t => {
    const rig = await RelayRig.start({}, arrival => { arrival.socket.write(wholeAnswer(arrival, 'hello', '200 OK', hold)) })
    rig.directory.observations.distrustIdleConnections('s', rig.clock.now())
    await rig.ask('a')
    await rig.ask('b')
    await rig.clock.advanceBy(10_000)
    await rig.ask('c')
    await rig.ask('d')
    t.deepEqual(rig.servers[0]?.arrivals.map(({ connection }) => connection), [0, 1, 2, 2])
    rig.stop()
  })

  // A server forgets connections that rest for a third of a second, without
  // closing them. An order sent on one is lost, and nobody knows whether it ran.
  it('that have rested do not serve what may run once', async t => {
    const forgotten = new Set<number>()
    const rig = await RelayRig.start({}, arrival => {
      if (forgotten.has(arrival.connection)) {
        arrival.socket.destroy()
      } else {
        arrival.socket.write(wholeAnswer(arrival, 'hello', '200 OK', hold))
      }
    })
    for (const [index, id] of ['a', 'b', 'c'].entries()) {
      t.regex(await rig.ask(id), /^HTTP\/1.1 200 /)
      t.regex(await rig.ask(`${id}-at-once`), /^HTTP\/1.1 200 /)
      forgotten.add(index)
      await rig.clock.advanceBy(300)
    }
    t.deepEqual(rig.servers[0]?.arrivals.map(({ connection }) => connection), [0, 0, 1, 1, 2, 2])
    rig.stop()
  })

  it('serve what may run twice all the while', async t => {
    const rig = await RelayRig.start({ repeatability: Repeatability.Idempotent }, arrival => { arrival.socket.write(wholeAnswer(arrival, 'hello', '200 OK', hold)) })
    rig.directory.observations.distrustIdleConnections('s', rig.clock.now())
    await rig.ask('a')
    await rig.ask('b')
    t.deepEqual(rig.servers[0]?.arrivals.map(({ connection }) => connection), [0, 0])
    rig.stop()
  })
})

describe('silence', () => {
  // A connection goes silent for good, and nothing closes it. The caller of a
  // request that may run twice waits for nothing until its deadline.
  it('asks another server where that does no harm', async t => {
    const rig = await RelayRig.start({ repeatability: Repeatability.Idempotent }, () => {}, arrival => arrival.socket.write(wholeAnswer(arrival, 'hello')))
    const answer = rig.ask('a')
    await rig.servers[0]?.arrived(1)
    await rig.clock.advanceBy(1000)
    t.regex(await answer, /^HTTP\/1.1 200 [^]*hello$/)
    rig.stop()
  })

  // An engine reads large prompts, one after another. Each that is given up and
  // sent elsewhere is read there from the beginning, and makes others wait.
  it('is borne while the server has begun nothing newer', async t => {
    const rig = await RelayRig.start(stream, () => {}, arrival => arrival.socket.write(streamHead(arrival) + chunk('id: 1\n\n') + '0\r\n\r\n'))
    const queued = rig.ask('a')
    await rig.servers[0]?.arrived(1)
    await rig.clock.advanceBy(3000)
    t.is(rig.arrivals, 1)
    rig.runs.abort()
    await queued
    rig.stop()
  })

  it('of a server that passes a request over sends that one elsewhere', async t => {
    const whole = (arrival: Parameters<typeof streamHead>[0]): void => { arrival.socket.write(streamHead(arrival) + chunk('id: 1\n\n') + '0\r\n\r\n') }
    const rig = await RelayRig.start(stream, arrival => {
      if (arrival.id !== 'a') {
        whole(arrival)
      }
    }, whole)
    const lost = rig.ask('a')
    await rig.servers[0]?.arrived(1)
    await rig.clock.advanceBy(100)
    await rig.ask('b')
    await rig.clock.advanceBy(1000)
    t.regex(await lost, /^HTTP\/1.1 200 [^]*id: 1/)
    t.is(rig.servers[1]?.arrivals.length, 1)
    rig.stop()
  })

  it('lets what runs once wait for its deadline', async t => {
    const rig = await RelayRig.start({}, () => {}, arrival => arrival.socket.write(wholeAnswer(arrival, 'twice')))
    const answer = rig.ask('a')
    await rig.servers[0]?.arrived(1)
    await rig.clock.advanceBy(9000)
    t.is(rig.arrivals, 1)
    await rig.clock.advanceBy(2000)
    t.regex(await answer, /^HTTP\/1.1 504 /)
    rig.stop()
  })

  // Connections of one age go silent together. One shows it; the requests that
  // are sent on the others would each find out by themselves.
  it('closes the other idle connections to the server', async t => {
    const held: Array<() => void> = []
    let isSilent = false
    const rig = await RelayRig.start({}, arrival => {
      if (!isSilent) {
        held.push(() => arrival.socket.write(wholeAnswer(arrival, 'hello', '200 OK', 'keep-alive: timeout=60')))
      }
    })
    const answers = [rig.ask('a'), rig.ask('b')]
    await rig.servers[0]?.arrived(2)
    held.forEach(answer => answer())
    await Promise.all(answers)
    isSilent = true
    const silent = rig.ask('c')
    await rig.servers[0]?.arrived(3)
    const used = rig.servers[0]?.arrivals[2]?.connection ?? 0
    await rig.clock.advanceBy(2000)
    await rig.servers[0]?.closed(1 - used)
    await rig.clock.advanceBy(10_000)
    t.regex(await silent, /^HTTP\/1.1 504 /)
    rig.stop()
  })
})

describe('requests that crash servers', () => {
  // One request crashes each server that runs it, and its caller sends it again
  // and again. Each time, all that runs on a server is lost.
  it('are refused before they take a fourth', async t => {
    const crash = (arrival: Parameters<typeof wholeAnswer>[0]): void => { arrival.socket.destroy() }
    const rig = await RelayRig.start({}, crash, crash, crash, crash)
    for (const [index, id] of ['a', 'b', 'c'].entries()) {
      t.regex(await rig.ask(id, 'poison'), /^HTTP\/1.1 502 /)
      rig.directory.remove(`s${index}`, 100 + index)
    }
    t.regex(await rig.ask('d', 'poison'), /^HTTP\/1.1 503 [^]*not_run/)
    t.is(rig.arrivals, 3)
    rig.stop()
  })

  it('are known to an instance that never saw them', async t => {
    const crash = (arrival: Parameters<typeof wholeAnswer>[0]): void => { arrival.socket.destroy() }
    const rig = await RelayRig.start({}, crash, crash, crash)
    for (const [index, id] of ['a', 'b', 'c'].entries()) {
      await rig.ask(id, 'poison')
      rig.directory.remove(`s${index}`, 100 + index)
    }
    const other = await RelayRig.start({}, arrival => arrival.socket.write(wholeAnswer(arrival, 'hello')))
    other.suspects.receiveFacts(rig.suspects.factsToAnnounce(rig.clock.now()), other.clock.now())
    t.regex(await other.ask('d', 'poison'), /^HTTP\/1.1 503 /)
    t.regex(await other.ask('e', 'harmless'), /^HTTP\/1.1 200 /)
    rig.stop()
    other.stop()
  })

  // Many callers read one page; it is on its way at each crash that others cause.
  it('are not taken for one that ends well elsewhere', async t => {
    const outcomes = ['crash', 'crash', 'well', 'crash', 'well']
    const rig = await RelayRig.start({}, ...outcomes.map(outcome => (arrival: Parameters<typeof wholeAnswer>[0]) => {
      if (outcome === 'crash') {
        arrival.socket.destroy()
      } else {
        arrival.socket.write(wholeAnswer(arrival, 'hello'))
      }
    }))
    for (const [index, outcome] of outcomes.entries()) {
      t.regex(await rig.ask(`${index}`, 'page'), outcome === 'crash' ? /^HTTP\/1.1 502 / : /^HTTP\/1.1 200 /)
      rig.directory.remove(`s${index}`, 100 + index)
    }
    rig.stop()
  })
})
