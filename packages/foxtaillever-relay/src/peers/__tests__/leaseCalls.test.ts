/** A lease holder that is cut off from the store renews its lease by calls to another instance. */
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { SystemClock } from 'foxtaillever-core'
import { describe, it } from 'foxtaillever-testing'
import { Left, Right } from 'purify-ts'
import { Failure, FailureCode, Verdict } from 'foxtaillever-core'
import { callServer } from '../../servers/callServer.js'
import { ServerConnections } from '../../servers/serverConnections.js'
import type { FenceLog } from '../../weights/fenceLog.js'
import { answerLeaseCall, createProxiedLog } from '../leaseCalls.js'

const TOPIC = 'lease'
const TIMEOUT_MS = 5000

/** More than any answer here has. */
const MAX_BYTES = 10_000

async function withProxiedLog (log: FenceLog, use: (proxied: FenceLog) => Promise<void>): Promise<void> {
  const clock = SystemClock.create()
  const server = createServer((request, response) => {
    answerLeaseCall(log, TOPIC, request, new URL(request.url ?? '', 'http://peer').searchParams, response).catch(() => response.destroy())
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const connections = ServerConnections.create({ address: `127.0.0.1:${(server.address() as AddressInfo).port}`, part: { total: 1, idle: 1 } })
  await use(createProxiedLog(async call => await callServer(connections, call, { clock, deadline: clock.now() + TIMEOUT_MS, maxBytes: MAX_BYTES })))
  connections.close()
  server.close()
}

describe('the lease log through another instance', () => {
  it('passes on the answers of the store', async t => {
    const records: Buffer[] = []
    const log: FenceLog = {
      append: async (topic, at, record) => {
        const isAppended = topic === TOPIC && at === records.length
        isAppended && records.push(record)
        return Right({ isAppended, end: records.length })
      },
      readAt: async (_, offset) => Right(records[offset])
    }
    await withProxiedLog(log, async proxied => {
      t.deepEqual((await proxied.append('', 0, Buffer.from('holder'))).extract(), { isAppended: true, end: 1 })
      t.deepEqual((await proxied.append('', 0, Buffer.from('holder'))).extract(), { isAppended: false, end: 1 })
      t.deepEqual((await proxied.readAt('', 0)).extract(), Buffer.from('holder'))
      t.is((await proxied.readAt('', 7)).extract(), undefined)
      t.true((await proxied.append('', 1, Buffer.alloc(5000))).isLeft())
    })
  })

  // The append may have taken effect: only the store's answer can rule it out.
  it('reports an unknown outcome if the store did not answer', async t => {
    const silent = Left(Failure.create(FailureCode.LogUnavailable, Verdict.MayHaveRun, 'no answer in time'))
    await withProxiedLog({ append: async () => silent, readAt: async () => silent }, async proxied => {
      const answer = await proxied.append('', 0, Buffer.from('holder'))
      t.is(answer.swap().map(({ verdict }) => verdict).extract() as Verdict, Verdict.MayHaveRun)
    })
  })
})
