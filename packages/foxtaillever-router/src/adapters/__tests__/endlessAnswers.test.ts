/** Answers without end, or whose head is none, to calls that the instance makes itself. */
import { SystemClock, type Failure } from 'foxtaillever-core'
import { closesWithin, Framing, headWithoutEnd, pieceOf, writeWithoutEnd } from 'foxtaillever-relay/__fixtures__/endlessBytes'
import { ScriptedServer, type Answer } from 'foxtaillever-relay/__fixtures__/scriptedServer'
import { describe, it } from 'foxtaillever-testing'
import type { Either } from 'purify-ts'
import { InstanceListClient } from '../instanceListClient.js'
import { LogClient } from '../logClient.js'
import { OrderClient } from '../orderClient.js'

/** Longer than the timeout of each call, milliseconds. */
const ENDS_WITHIN_MS = 10_000

/** More than a client of any kind needs to notice that the answer does not end, bytes. */
const MOST_READ_BYTES = 256 * 1024 * 1024

const DRIP_MS = 200

const endless: Readonly<Record<string, Answer>> = {
  'a body in chunks': ({ socket }) => {
    socket.write(headWithoutEnd('200 OK', []))
    writeWithoutEnd(socket, pieceOf(Framing.Chunked))
  },
  'a body that ends with its connection': ({ socket }) => {
    socket.write(headWithoutEnd('200 OK', [], Framing.Unframed))
    writeWithoutEnd(socket, pieceOf(Framing.Unframed))
  },
  'an error in chunks': ({ socket }) => {
    socket.write(headWithoutEnd('500 Failed', []))
    writeWithoutEnd(socket, pieceOf(Framing.Chunked))
  },
  'a head': ({ socket }) => {
    socket.write('HTTP/1.1 200 OK\r\n')
    writeWithoutEnd(socket, 'name: value\r\n')
  },
  'informational heads': ({ socket }) => { writeWithoutEnd(socket, 'HTTP/1.1 102 Working\r\n\r\n') }
}

const slow: Readonly<Record<string, Answer>> = {
  'a body that comes slowly': ({ socket }) => {
    socket.write(headWithoutEnd('200 OK', []))
    const timer = setInterval(() => socket.write(pieceOf(Framing.Chunked, 'x')), DRIP_MS)
    socket.once('close', () => clearInterval(timer))
  }
}

const malformed: Readonly<Record<string, Answer>> = {
  'a head of status 000': ({ socket }) => { socket.write('HTTP/1.1 000 OK\r\ncontent-length: 2\r\n\r\n{}') },
  'a head that switches protocols': ({ socket }) => { socket.write('HTTP/1.1 101 Other\r\nconnection: upgrade\r\nupgrade: other\r\n\r\n') }
}

type Call = (address: string) => Promise<Either<Failure, unknown>>

const orders: Call = async address => await OrderClient.create(() => address).fetchState('engine')
const list: Call = async address => await InstanceListClient.create(address).list()
const log: Call = async address => {
  const clock = SystemClock.create()
  return await LogClient.create(address, clock).read(0, clock.now())
}

const calls: ReadonlyArray<readonly [string, Call, Readonly<Record<string, Answer>>]> = [
  ['the state of an engine', orders, { ...endless, ...slow, ...malformed }],
  ['the list of instances', list, { ...endless, ...malformed }],
  ['a page of the log', log, { ...endless, ...malformed }]
]

for (const [name, call, answers] of calls) {
  describe(`a read of ${name} that is answered with`, () => {
    for (const [kind, answer] of Object.entries(answers)) {
      // Guards against an instance that keeps all bytes of a faulty answer until its memory is full, or waits for its end for good.
      it(`${kind} fails, and its connection closes`, async t => {
        const server = await ScriptedServer.start(answer)
        const result = await Promise.race([call(server.address), new Promise<undefined>(resolve => { setTimeout(() => resolve(undefined), ENDS_WITHIN_MS).unref() })])
        t.true(result?.isLeft(), result === undefined ? 'no result' : 'an answer')
        const [socket] = server.sockets
        t.true(await closesWithin(socket, ENDS_WITHIN_MS))
        t.true((socket?.bytesWritten ?? 0) < MOST_READ_BYTES, `${socket?.bytesWritten} bytes`)
        server.stop()
      })
    }
  })
}
