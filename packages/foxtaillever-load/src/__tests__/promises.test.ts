import { createParser } from 'eventsource-parser'
import { OrderKind, OrderState, ControlClient } from 'foxtaillever-control'
import { wholeAnswer } from 'foxtaillever-standins'
import { describe, it } from 'foxtaillever-testing'
import { request } from 'undici'
import { until, withDeployment } from '../__fixtures__/withDeployment.js'
import { keyOf, OPERATOR_TOKEN, type EmbeddedDeployment } from '../deployment/embeddedDeployment.js'

const TOKENS = 40

interface Chunk { readonly choices: ReadonlyArray<{ readonly text: string, readonly finish_reason: string | null }> }

interface Part {
  text: string
  last: number
  isDone: boolean
}

/** Reads events into the part; stops early after the given number of tokens. */
async function readInto (part: Part, body: AsyncIterable<Uint8Array>, upTo: number): Promise<void> {
  const decoder = new TextDecoder()
  const parser = createParser({
    onEvent: event => {
      if (event.data === '[DONE]') {
        part.isDone = true
        return
      }
      const choice = (JSON.parse(event.data) as Chunk).choices[0]
      if (choice?.finish_reason === null) {
        part.text += choice.text
        part.last = Number(event.id)
      }
    }
  })
  for await (const chunk of body) {
    parser.feed(decoder.decode(chunk, { stream: true }))
    if (part.last >= upTo) {
      return
    }
  }
}

/** Starts a stream through one instance and disconnects in the middle. */
async function beginAndLeave (deployment: EmbeddedDeployment, prompt: string, part: Part): Promise<string> {
  const answer = await request(`${deployment.addresses[0]}/v1/completions`, {
    method: 'POST',
    headers: { 'content-type': 'application/json', authorization: `Bearer ${keyOf('account-1')}`, 'x-keep-stream': 'true' },
    body: JSON.stringify({ model: 'order-language', prompt, max_tokens: TOKENS, stream: true })
  })
  await readInto(part, answer.body, 5)
  return String(answer.headers['x-stream-token'])
}

describe('a caller that was cut off', () => {
  it('takes its stream up through another instance, whole and in order', async t => {
    // The entry instance was replaced in the middle of an answer. The engine
    // still has the stream; without the token the caller would wait for the whole answer again.
    await withDeployment(async deployment => {
      const prompt = 'Feed for ten sows?'
      const part: Part = { text: '', last: 0, isDone: false }
      const token = await beginAndLeave(deployment, prompt, part)
      const answer = await request(`${deployment.addresses[1]}/v1/streams/${token}`, {
        headers: { authorization: `Bearer ${keyOf('account-1')}`, 'last-event-id': String(part.last) }
      })
      await readInto(part, answer.body, Infinity)
      t.true(part.isDone)
      t.is(part.text, wholeAnswer(prompt, TOKENS))
    })
  })

  it('cannot open the stream of another account', async t => {
    // The token leaked to another client account.
    await withDeployment(async deployment => {
      const token = await beginAndLeave(deployment, 'Secret mix', { text: '', last: 0, isDone: false })
      const answer = await request(`${deployment.addresses[1]}/v1/streams/${token}`, { headers: { authorization: `Bearer ${keyOf('account-2')}` } })
      t.is(answer.statusCode, 403)
      t.false((await answer.body.text()).includes('text_completion'))
    })
  })
})

describe('an operator', () => {
  it('sees an order carried out, whichever instance holds the lease', async t => {
    await withDeployment(async deployment => {
      const client = ControlClient.create(deployment.controlAddresses()[0] ?? '', OPERATOR_TOKEN)
      const [server, engine] = [...deployment.engines][0] ?? []
      const given = await client.giveOrder({ kind: OrderKind.LoadAdapter, server: server ?? '', model: 'order-language', value: 'harvest' })
      t.true(given.isRight(), String(given.extract()))
      await until(() => engine?.state().adapters.includes('harvest') === true)
      let state: OrderState | undefined
      while (state !== OrderState.Done) {
        state = (await client.orders()).orDefault([])[0]?.state
      }
      t.is(state, OrderState.Done)
    })
  })
})
