/** A well-known client library of the completions protocol, unmodified, against running entry instances. */
import OpenAI, { APIError, AuthenticationError, BadRequestError, NotFoundError } from 'openai'
import type { ExecutionContext } from 'ava'
import { renderMessages, Verdict } from 'foxtaillever-core'
import { wholeAnswer } from 'foxtaillever-standins'
import { describe, it } from 'foxtaillever-testing'
import { until, withDeployment } from '../__fixtures__/withDeployment.js'
import { keyOf, type EmbeddedDeployment } from '../deployment/embeddedDeployment.js'

const model = 'order-language'
const messages = [{ role: 'system' as const, content: 'You know feed.' }, { role: 'user' as const, content: 'How much for ten sows?' }]
const chatAnswer = (tokens: number): string => wholeAnswer(renderMessages(messages), tokens)

function connect (deployment: EmbeddedDeployment, key = keyOf('account-1')): OpenAI {
  return new OpenAI({ apiKey: key, baseURL: `${deployment.addresses[0]}/v1`, maxRetries: 0 })
}

async function rejects (t: ExecutionContext, call: PromiseLike<unknown>): Promise<APIError> {
  return await t.throwsAsync(async () => { await call }, { instanceOf: APIError }) as APIError
}

function verdictOf (error: APIError): unknown {
  return (error.error as { verdict?: unknown } | undefined)?.verdict
}

describe('an unmodified client', () => {
  describe('answers', () => {
    it('gets a chat answer whole, with its usage', async t => {
      await withDeployment(async deployment => {
        const answer = await connect(deployment).chat.completions.create({ model, messages, max_tokens: 5 })
        t.is(answer.choices[0]?.message.content, chatAnswer(5))
        t.is(answer.usage?.completion_tokens, 5)
        t.is(answer.choices[0]?.finish_reason, 'length')
      })
    })

    it('gets a chat answer as a stream, with its usage at the end', async t => {
      await withDeployment(async deployment => {
        const stream = await connect(deployment).chat.completions.create({ model, messages, max_tokens: 5, stream: true, stream_options: { include_usage: true } })
        let text = ''
        let completionTokens = 0
        for await (const chunk of stream) {
          text += chunk.choices[0]?.delta.content ?? ''
          completionTokens = chunk.usage?.completion_tokens ?? completionTokens
        }
        t.is(text, chatAnswer(5))
        t.is(completionTokens, 5)
      })
    })

    it('gets a plain completion whole and as a stream', async t => {
      await withDeployment(async deployment => {
        const client = connect(deployment)
        const whole = await client.completions.create({ model, prompt: 'Feed for', max_tokens: 3 })
        let text = ''
        for await (const chunk of await client.completions.create({ model, prompt: 'Feed for', max_tokens: 3, stream: true })) {
          text += chunk.choices[0]?.text ?? ''
        }
        t.is(whole.choices[0]?.text, wholeAnswer('Feed for', 3))
        t.is(whole.choices[0]?.text ?? '', text)
      })
    })

    it('lists the models', async t => {
      await withDeployment(async deployment => {
        const page = await connect(deployment).models.list()
        t.deepEqual(page.data.map(entry => entry.id), [model])
      })
    })
  })

  describe('errors', () => {
    it('meets its own error classes, each with the verdict that nothing ran', async t => {
      await withDeployment(async deployment => {
        const ask = (client: OpenAI, changes: object): PromiseLike<unknown> => client.chat.completions.create({ model, messages, max_tokens: 2, ...changes })
        const wrongKey = await rejects(t, ask(connect(deployment, 'nobody'), {}))
        const wrongModel = await rejects(t, ask(connect(deployment), { model: 'other' }))
        const wrongBody = await rejects(t, ask(connect(deployment), { max_tokens: -1 }))
        t.true(wrongKey instanceof AuthenticationError)
        t.true(wrongModel instanceof NotFoundError)
        t.true(wrongBody instanceof BadRequestError)
        t.deepEqual([wrongKey, wrongModel, wrongBody].map(verdictOf), [Verdict.NotRun, Verdict.NotRun, Verdict.NotRun])
      })
    })

    // Every engine dies in the middle of an answer that may not run twice. The caller must be notified
    // that its stream is broken, and not take the received half for the complete answer.
    it('sees a broken stream as an error and not as an end', async t => {
      await withDeployment(async deployment => {
        const headers = { 'x-non-idempotent': 'true', 'idempotency-key': `${Date.now()}-order-1` }
        const stream = await connect(deployment).chat.completions.create({ model, messages, max_tokens: 5000, stream: true }, { headers })
        const error = await t.throwsAsync(async () => {
          for await (const chunk of stream) {
            t.truthy(chunk.id)
            deployment.engines.forEach(engine => engine.crash())
          }
        }, { instanceOf: APIError }) as APIError
        t.not(verdictOf(error), Verdict.NotRun)
        t.truthy(verdictOf(error))
      })
    })
  })

  describe('cancel', () => {
    // A caller disconnects in the middle of a long answer. Without a cancellation the engine would continue
    // for minutes in a slot that other requests wait for.
    it('stops the engine\'s work when the caller leaves', async t => {
      await withDeployment(async deployment => {
        const engines = [...deployment.engines.values()]
        const running = (): number => engines.reduce((sum, engine) => sum + engine.runningNow(), 0)
        const stream = await connect(deployment).chat.completions.create({ model, messages, max_tokens: 30_000, stream: true })
        await stream[Symbol.asyncIterator]().next()
        t.is(running(), 1)
        stream.controller.abort()
        await until(() => running() === 0)
        t.is(running(), 0)
      })
    })
  })
})
