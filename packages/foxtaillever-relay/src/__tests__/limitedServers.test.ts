import { LimitOutcome, LimitRole } from 'foxtaillever-policy/limits/sharedLimitLedger'
import { describe, it } from 'foxtaillever-testing'
import { RelayRig } from '../__fixtures__/relayRig.js'
import { wholeAnswer, type Answer } from '../__fixtures__/scriptedServer.js'
import type { LimitProtocol } from '../limits/limitProtocol.js'
import { Repeatability } from '../model/routing.js'

const LIMITED = 'limit: 1'

function answerWith (status: string, ...headers: string[]): Answer {
  return arrival => { arrival.socket.write(wholeAnswer(arrival, 'ok', status, ...headers)) }
}

/** Grants a number of requests, and counts claims and refunds. */
class Grants {
  refunds = 0
  claims = 0

  constructor (private left: number, private readonly retryAt = Infinity) {}

  readonly protocol: Pick<LimitProtocol, 'claim' | 'refund'> = {
    claim: (_, go) => {
      this.left -= 1
      this.claims += 1
      go({ outcome: this.left >= 0 ? LimitOutcome.Granted : LimitOutcome.Refused, role: LimitRole.Owner, decidedBy: 'a', retryAt: this.retryAt })
    },
    refund: () => { this.refunds += 1 }
  }
}

/** Servers that state a limit and have answered once, and the number of further requests that the limit allows. */
async function startLimited (left: number, ...answers: Answer[]): Promise<{ rig: RelayRig, grants: Grants }> {
  const rig = await RelayRig.start({ repeatability: Repeatability.Idempotent, mostAttempts: 3 }, ...answers)
  const grants = new Grants(left)
  rig.limitProtocol = grants.protocol
  await rig.sendRequest('first')
  return { rig, grants }
}

describe('a request for a server that stated a limit', () => {
  it('goes to another server when the limit is reached', async t => {
    const { rig } = await startLimited(0, answerWith('200 OK', LIMITED), answerWith('200 OK'))
    t.true((await rig.sendRequest('second')).endsWith('ok'))
    t.deepEqual(rig.servers.map(({ arrivals }) => arrivals.map(({ id }) => id)), [['first'], ['second']])
    rig.stop()
  })

  it('is refused with a retry time when all servers are at their limits', async t => {
    const { rig } = await startLimited(0, answerWith('200 OK', LIMITED))
    const answer = await rig.sendRequest('second')
    t.regex(answer, /^HTTP\/1.1 503 /)
    t.regex(answer, /Retry-After: 1\.00/)
    t.is(rig.arrivals, 1)
    rig.stop()
  })

  // Guards against repeated claims within one turn of the event loop.
  it('is claimed once when the refusal names a retry time that has passed', async t => {
    const { rig } = await startLimited(0, answerWith('200 OK', LIMITED))
    const grants = new Grants(0, rig.clock.now())
    rig.limitProtocol = grants.protocol
    t.regex(await rig.sendRequest('second'), /^HTTP\/1.1 503 /)
    t.is(grants.claims, 1)
    rig.stop()
  })

  // Guards against retries that the limit does not count.
  it('is not sent again beyond the limit', async t => {
    const { rig } = await startLimited(1, answerWith('500 Failed', LIMITED), answerWith('500 Failed', LIMITED))
    const before = rig.arrivals
    t.regex(await rig.sendRequest('second'), /^HTTP\/1.1 500 /)
    t.is(rig.arrivals, before + 1)
    rig.stop()
  })

  it('is refunded when the server accepts no connection', async t => {
    const { rig, grants } = await startLimited(1, answerWith('200 OK', LIMITED), answerWith('200 OK'))
    rig.servers[0]?.stop()
    t.true((await rig.sendRequest('second')).endsWith('ok'))
    t.is(grants.refunds, 1)
    rig.stop()
  })
})
