import { connectSlowly, describe, it } from 'foxtaillever-testing'
import { request } from 'undici'
import { until, withDeployment } from '../__fixtures__/withDeployment.js'
import { keyOf } from '../deployment/embeddedDeployment.js'

/** Later than an instance without requests has ended, milliseconds. */
const READING_AFTER_MS = 1500

describe('an instance that shuts down', () => {
  // Guards against an answer that is cut because the instance has it in full, though its caller has not.
  it('stays until a caller that reads slowly has its answer', async t => {
    await withDeployment(async deployment => {
      const [url = ''] = deployment.addresses
      const [instance] = deployment.instances
      const connection = await connectSlowly(url.replace('http://', ''), async () => await request(`${url}/healthz`))
      const body = JSON.stringify({ model: 'order-language', prompt: 'Feed for ten sows?', max_tokens: 4 })
      connection.sendRequest('/v1/completions', { Host: 'h', 'Content-Type': 'application/json', Authorization: `Bearer ${keyOf('account-1')}` }, body)
      await until(() => connection.held > 0)
      setTimeout(() => connection.startReading(), READING_AFTER_MS)
      deployment.instances.shift()
      await instance?.stop()
      t.regex(connection.received, /^HTTP\/1.1 200 OK[^]*text_completion/)
    })
  })
})
