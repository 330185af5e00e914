/** What the router receives from attempts at an engine whose connections and streams misbehave. */
import type { ExecutionContext } from 'ava'
import { EnginePath, PriorityClass, type Failure, type GenerateCall, type GenerateListener, type GenerateStream } from 'foxtaillever-core'
import { writeWithoutEnd } from 'foxtaillever-relay/__fixtures__/endlessBytes'
import { chunk, ScriptedServer, type Answer } from 'foxtaillever-relay/__fixtures__/scriptedServer'
import { describe, it, VirtualClock } from 'foxtaillever-testing'
import { EngineClient } from '../engineClient.js'

/** Long enough for some megabytes over loopback, milliseconds. */
const AT_ONCE_MS = 5000

async function wait (ms: number): Promise<string> {
  return await new Promise(resolve => { setTimeout(() => resolve('no outcome'), ms).unref() })
}

const HEAD = 'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n'
const STARTED = 'event: started\ndata: {"streamId":"s"}\n\n'
const FINISHED = 'event: finished\ndata: {"completionTokens":1}\n\n'
const TOKEN = 'id: 1\ndata: "a"\n\n'
const END = '0\r\n\r\n'

const whole: Answer = ({ socket }) => socket.write(HEAD + chunk(STARTED + TOKEN + FINISHED) + END)

const call: GenerateCall = {
  requestId: 'r', account: 'a', model: 'm', weightsVersion: 'w', expectedIncarnation: '', priority: PriorityClass.Standard, deadline: 1, path: EnginePath.Completions, body: {}, continueAfter: 0, idempotencyKey: ''
}

class EngineRig {
  readonly events: string[] = []
  readonly clock = VirtualClock.create()
  private readonly client: EngineClient

  private constructor (readonly server: ScriptedServer) {
    this.client = EngineClient.create(server.address, this.clock)
  }

  static async start (t: ExecutionContext, answer: Answer): Promise<EngineRig> {
    const rig = new EngineRig(await ScriptedServer.start(answer))
    t.teardown(() => {
      rig.client.closeGracefully()
      rig.server.stop()
    })
    return rig
  }

  /** Resolves with the outcome. */
  async generate (maySend = true, onOpen: (stream: GenerateStream) => void = () => {}): Promise<string> {
    return await new Promise(resolve => {
      const record = (event: string): void => { this.events.push(event) }
      const listener: GenerateListener = {
        sent: () => maySend,
        started: () => record('started'),
        token: sequence => record(`token ${sequence}`),
        finished: () => resolve('finished'),
        failed: ({ code, verdict }: Failure) => resolve(`${code} ${verdict}`)
      }
      onOpen(this.client.generate(call, listener))
    })
  }
}

describe('an engine', () => {
  it('is read event by event, also with lines that end with a carriage return', async t => {
    for (const answer of [whole, ({ socket }: Parameters<Answer>[0]) => socket.write(HEAD + chunk(`: hello\r\n\r\n${(STARTED + TOKEN + FINISHED).replaceAll('\n', '\r\n')}`) + END)]) {
      const rig = await EngineRig.start(t, answer)
      t.is(await rig.generate(), 'finished')
      t.deepEqual(rig.events, ['started', 'token 1'])
    }
  })

  // Guards against a head that is none of a final answer, and passes for the engine's own error.
  it('is not believed if its status is none of a final answer', async t => {
    for (const status of ['000', '101', '700']) {
      const rig = await EngineRig.start(t, ({ socket }) => socket.write(`HTTP/1.1 ${status} Odd\r\ncontent-length: 0\r\n\r\n`))
      t.is(await rig.generate(), 'stream_broken may_have_run', status)
    }
  })

  // The claim of a request expires while its connection is established. If a byte
  // were sent, the request could run twice.
  it('gets no byte of a request that may not be sent, on a new or a reused connection', async t => {
    const rig = await EngineRig.start(t, whole)
    t.is(await rig.generate(false), 'deadline_passed not_run')
    t.is(await rig.generate(), 'finished')
    t.is(await rig.generate(false), 'deadline_passed not_run')
    t.is(await rig.generate(), 'finished')
    t.is(rig.server.arrivals.length, 2)
  })

  it('proves only by its own verdict that a request did not run', async t => {
    for (const [header, expected] of [['x-verdict: not_run', 'stale not_run'], ['x-other: 1', 'stale may_have_run']] as const) {
      const body = '{"error":{"code":"stale","message":"other weights"}}'
      const rig = await EngineRig.start(t, ({ socket }) => socket.write(`HTTP/1.1 409 Other\r\n${header}\r\ncontent-length: ${body.length}\r\n\r\n${body}`))
      t.is(await rig.generate(), expected)
    }
  })

  // A faulty engine writes an event that never ends. If it were buffered, it would
  // fill the memory of the instance, which would fail with all its callers.
  it('is abandoned in the middle of an endless event', async t => {
    const rig = await EngineRig.start(t, ({ socket }) => {
      socket.write(HEAD + chunk(STARTED))
      const more = (): void => { socket.write(chunk('x'.repeat(65_536)), error => { error || more() }) }
      more()
    })
    t.is(await rig.generate(), 'stream_broken may_have_run')
    await rig.server.closed(0)
  })

  // Guards against an attempt that a faulty engine holds until the deadline of its request with bytes that are no event or no end of an error.
  it('is abandoned if nothing but comments, unknown events or an error without end follows', async t => {
    const pieces = { [HEAD + chunk(STARTED)]: [': comment\n\n', 'event: other\ndata: x\n\n'], 'HTTP/1.1 500 Failed\r\ntransfer-encoding: chunked\r\n\r\n': ['failed '] }
    for (const [head, texts] of Object.entries(pieces)) {
      for (const text of texts) {
        const rig = await EngineRig.start(t, ({ socket }) => {
          socket.write(head)
          writeWithoutEnd(socket, chunk(text.repeat(100)))
        })
        t.is(await Promise.race([rig.generate(), wait(AT_ONCE_MS)]), head.includes(' 500 ') ? 'backend_server_error may_have_run' : 'stream_broken may_have_run', text)
        await rig.server.closed(0)
      }
    }
  })

  // An event cannot be parsed. If the connection's reader threw the error, nothing
  // would catch it, and the request would never end.
  it('fails the request with an event that cannot be read', async t => {
    const rig = await EngineRig.start(t, ({ socket }) => socket.write(HEAD + chunk('event: started\ndata: {\n\n')))
    t.is(await rig.generate(), 'stream_broken may_have_run')
  })

  it('counts as lost when it is silent, but not when its caller reads slowly', async t => {
    const rig = await EngineRig.start(t, ({ socket }) => socket.write(HEAD + chunk(STARTED)))
    let stream: GenerateStream | undefined
    const outcome = rig.generate(true, opened => { stream = opened })
    await rig.server.arrived(1)
    stream?.pause()
    await rig.clock.advanceBy(40_000)
    t.false(rig.server.sockets[0]?.destroyed)
    stream?.resume()
    await rig.clock.advanceBy(40_000)
    t.is(await outcome, 'connection_lost may_have_run')
  })
})
