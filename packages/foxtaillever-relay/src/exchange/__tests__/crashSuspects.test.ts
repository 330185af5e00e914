/**
 * A server that crashes loses dozens of requests, one at each instance of a
 * large fleet, and all of them are announced. Guards against the request that
 * caused the crash getting lost among them: it would be retried through other
 * instances and crash a server each time.
 */
import { describe, it } from 'foxtaillever-testing'
import { plainRoute } from '../../__fixtures__/relayRig.js'
import type { Exchange } from '../../model/exchange.js'
import { CrashSuspects } from '../crashSuspects.js'

const MANY = 100

function createExchange (body: string): Exchange {
  return {
    id: body,
    method: 'POST',
    path: '/p',
    host: 'h',
    headers: [],
    apiKey: undefined,
    patienceMs: undefined,
    prompt: undefined,
    resumeAfter: '',
    resumedId: '',
    route: plainRoute,
    account: undefined,
    service: 's',
    body: Buffer.from(body),
    arrivedAt: 0,
    callerDeadline: Infinity,
    deadline: Infinity
  }
}

describe('CrashSuspects', () => {
  it('announces its own losses although it received many from others', t => {
    const poison = createExchange('poison')
    const witnesses = [CrashSuspects.create(), CrashSuspects.create(), CrashSuspects.create()]
    const newcomer = CrashSuspects.create()
    witnesses.forEach((witness, index) => {
      witness.recordLoss(poison, `server-${index}`, 0)
      for (let other = 0; other < MANY; other += 1) {
        const elsewhere = CrashSuspects.create()
        elsewhere.recordLoss(createExchange(`harmless-${index}-${other}`), `server-${index}`, 1)
        witness.receiveFacts(elsewhere.factsToAnnounce(1), 1)
      }
      newcomer.receiveFacts(witness.factsToAnnounce(2), 2)
    })
    t.true(newcomer.isRefused(poison, 3))
    t.false(newcomer.isRefused(createExchange('harmless-0-0'), 3))
  })
})
