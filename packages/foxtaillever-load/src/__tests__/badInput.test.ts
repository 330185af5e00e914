/** Invalid input to running entry instances: the caller gets a clear error with its verdict, and other callers are not affected. */
import { connect, type Socket } from 'node:net'
import type { ExecutionContext } from 'ava'
import { EnginePath, Verdict } from 'foxtaillever-core'
import { describe, it } from 'foxtaillever-testing'
import { smallShape, until, withDeployment } from '../__fixtures__/withDeployment.js'
import { keyOf, type EmbeddedDeployment } from '../deployment/embeddedDeployment.js'
import { AnswerState } from '../workload/answer.js'
import { createArrivals } from '../workload/createArrivals.js'
import { createRandom } from '../workload/createRandom.js'
import { runArrivals } from '../workload/runArrivals.js'

const good = { model: 'order-language', messages: [{ role: 'user', content: 'How much for ten sows?' }], max_tokens: 2 }
const authorization = `Bearer ${keyOf('account-1')}`

interface Outcome {
  readonly status: number
  readonly code: string
  readonly verdict: string
  readonly headerVerdict: string | null
}

async function send (deployment: EmbeddedDeployment, body: string, headers: Record<string, string> = {}): Promise<Outcome> {
  const answer = await fetch(`${deployment.addresses[0]}${EnginePath.ChatCompletions}`, {
    method: 'POST',
    headers: { authorization, 'content-type': 'application/json', ...headers },
    body
  })
  const { error } = await answer.json() as { error: { code: string, verdict: string } }
  return { status: answer.status, code: error.code, verdict: error.verdict, headerVerdict: answer.headers.get('x-verdict') }
}

function refused (status: number, code: string): Outcome {
  return { status, code, verdict: Verdict.NotRun, headerVerdict: Verdict.NotRun }
}

function open (deployment: EmbeddedDeployment): Socket {
  const { hostname, port } = new URL(deployment.addresses[0] ?? '')
  return connect(Number(port), hostname)
}

/** Sends raw bytes and reads until the instance closes the connection. */
async function sendRaw (deployment: EmbeddedDeployment, bytes: string): Promise<string> {
  const socket = open(deployment)
  socket.write(bytes)
  const parts: string[] = []
  await new Promise<void>(resolve => {
    socket.on('data', part => parts.push(part.toString()))
    socket.on('close', () => resolve())
    socket.on('error', () => {})
  })
  return parts.join('')
}

function head (length: number): string {
  return `POST ${EnginePath.ChatCompletions} HTTP/1.1\r\nhost: h\r\nauthorization: ${authorization}\r\ncontent-type: application/json\r\ncontent-length: ${length}\r\n\r\n`
}

async function othersAreServed (t: ExecutionContext, deployment: EmbeddedDeployment): Promise<void> {
  const shape = { ...smallShape, lookupShare: 0, exportShare: 0 }
  const answers = await runArrivals(deployment.addresses, createArrivals({ shape, random: createRandom(3), requestsPerSecond: 20, seconds: 0.5 }))
  t.true(answers.length > 0)
  t.deepEqual(answers.filter(answer => answer.state !== AnswerState.Complete).map(({ state, code, verdict }) => ({ state, code, verdict })), [])
}

function ranAtAll (deployment: EmbeddedDeployment): number {
  return [...deployment.engines.values()].reduce((sum, engine) => sum + engine.runs.size, 0)
}

describe('bad input', () => {
  describe('bodies', () => {
    it('are refused with what is wrong, and nothing runs', async t => {
      await withDeployment(async deployment => {
        const bodies: Array<[string, number, string]> = [
          ['', 400, 'bad_request'],
          ['{"model":', 400, 'bad_request'],
          ['[]', 400, 'bad_request'],
          ['null', 400, 'bad_request'],
          ['{"__proto__":{"model":"m"}}', 400, 'bad_request'],
          [JSON.stringify({ ...good, messages: [] }), 400, 'bad_request'],
          [JSON.stringify({ ...good, messages: [{ role: 'user', content: 7 }] }), 400, 'bad_request'],
          [JSON.stringify({ ...good, max_tokens: 1e9 }), 400, 'bad_request'],
          [JSON.stringify({ ...good, model: 'other' }), 404, 'unknown_model'],
          [JSON.stringify({ ...good, model: 'constructor' }), 404, 'unknown_model'],
          ['['.repeat(100_000), 400, 'bad_request']
        ]
        for (const [body, status, code] of bodies) {
          t.deepEqual(await send(deployment, body), refused(status, code), body.slice(0, 60))
        }
        t.deepEqual(await send(deployment, 'x', { 'content-type': 'application/x-unheard-of' }), refused(400, 'bad_request'))
        t.is(ranAtAll(deployment), 0)
        await othersAreServed(t, deployment)
      })
    })

    it('are refused by their announced size, before they are read', async t => {
      await withDeployment(async deployment => {
        const answer = await sendRaw(deployment, head(50_000_000))
        t.regex(answer, /^HTTP\/1.1 413 /)
        t.regex(answer, /x-verdict: not_run/)
      })
    })

    // A caller's connection breaks in the middle of its body. Half a prompt must never run, because its answer
    // would belong to a question that nobody asked.
    it('that break off run nothing and disturb no one', async t => {
      await withDeployment(async deployment => {
        const body = JSON.stringify(good)
        const socket = open(deployment)
        await new Promise<void>(resolve => socket.write(head(body.length) + body.slice(0, 20), () => resolve()))
        socket.destroy()
        await othersAreServed(t, deployment)
        t.false([...deployment.engines.values()].some(engine => engine.runs.has('')))
      })
    })
  })

  describe('deadlines', () => {
    it('that make no sense are refused', async t => {
      await withDeployment(async deployment => {
        const headers: Array<[Record<string, string>, number, string]> = [
          [{ 'x-request-deadline': 'tomorrow' }, 400, 'bad_request'],
          [{ 'x-request-deadline': '1e300' }, 400, 'bad_request'],
          [{ 'x-request-deadline': '1' }, 504, 'deadline_passed'],
          [{ 'x-request-timeout-ms': '-5' }, 504, 'deadline_passed'],
          [{ 'x-request-timeout-ms': 'NaN' }, 400, 'bad_request'],
          [{ 'x-request-timeout-ms': '999999999999' }, 400, 'bad_request'],
          [{ 'x-priority': 'highest' }, 400, 'bad_request']
        ]
        for (const [header, status, code] of headers) {
          t.deepEqual(await send(deployment, JSON.stringify(good), header), refused(status, code), JSON.stringify(header))
        }
        t.is(ranAtAll(deployment), 0)
      })
    })
  })

  describe('connections', () => {
    it('with a flood of headers, or no HTTP at all, get an answer with the verdict', async t => {
      await withDeployment(async deployment => {
        const flood = `GET /v1/models HTTP/1.1\r\n${'x-flood: 0123456789\r\n'.repeat(2000)}\r\n`
        t.regex(await sendRaw(deployment, flood), /^HTTP\/1.1 431 [\s\S]*x-verdict: not_run[\s\S]*"verdict":"not_run"/)
        t.regex(await sendRaw(deployment, 'feed the sows\r\n\r\n'), /^HTTP\/1.1 400 [\s\S]*x-verdict: not_run[\s\S]*"verdict":"not_run"/)
        await othersAreServed(t, deployment)
      })
    })

    // A caller sends its body a few bytes at a time and never completes it. A thousand such callers would hold
    // a thousand connections for ever, and other callers would get none. The limit is long enough that the
    // complete requests of other callers meet it on a busy machine.
    it('of slow senders are ended in time, with the verdict', async t => {
      await withDeployment(async deployment => {
        const answer = await sendRaw(deployment, head(1000) + '{"model"')
        t.regex(answer, /^HTTP\/1.1 408 [\s\S]*x-verdict: not_run/)
        await othersAreServed(t, deployment)
      }, { arrivalTimeoutMs: 3000 })
    })

    // A caller asks for a long answer and does not read it. It may lose its own answer; other callers of
    // the same instance must not be affected.
    it('of slow readers hold up no one else, and leave with their callers', async t => {
      await withDeployment(async deployment => {
        const body = JSON.stringify({ ...good, max_tokens: 30_000, stream: true })
        const sockets = Array.from({ length: 4 }, () => open(deployment))
        sockets.forEach(socket => socket.pause().write(head(body.length) + body))
        const running = (): number => [...deployment.engines.values()].reduce((sum, engine) => sum + engine.runningNow(), 0)
        await until(() => running() === sockets.length)
        await othersAreServed(t, deployment)
        sockets.forEach(socket => socket.destroy())
        await until(() => running() === 0)
        t.is(running(), 0)
      })
    })
  })
})
