/**
 * A server goes down with dozens of requests, one at each instance of a large
 * fleet, and all are told of. The one that crashed it comes again through other
 * instances and takes a server each time, until all know of three.
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
  it('tells what it saw itself among many that it heard of', t => {
    const poison = createExchange('poison')
    const witnesses = [CrashSuspects.create(), CrashSuspects.create(), CrashSuspects.create()]
    const newcomer = CrashSuspects.create()
    witnesses.forEach((witness, index) => {
      witness.accuse(poison, `server-${index}`, 0)
      for (let other = 0; other < MANY; other += 1) {
        const elsewhere = CrashSuspects.create()
        elsewhere.accuse(createExchange(`harmless-${index}-${other}`), `server-${index}`, 1)
        witness.hear(elsewhere.toTell(1), 1)
      }
      newcomer.hear(witness.toTell(2), 2)
    })
    t.true(newcomer.isRefused(poison, 3))
    t.false(newcomer.isRefused(createExchange('harmless-0-0'), 3))
  })
})
