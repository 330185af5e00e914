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

/** Grants so many requests, and keeps what was given back. */
class Grants {
  givenBack = 0
  claims = 0

  constructor (private left: number, private readonly retryAt = Infinity) {}

  readonly protocol: Pick<LimitProtocol, 'claim' | 'giveBack'> = {
    claim: (_, go) => {
      this.left -= 1
      this.claims += 1
      go({ outcome: this.left >= 0 ? LimitOutcome.Granted : LimitOutcome.Refused, role: LimitRole.Owner, decidedBy: 'a', retryAt: this.retryAt })
    },
    giveBack: () => { this.givenBack += 1 }
  }
}

/** Servers that state a limit and have answered once, and so many further requests that it has room for. */
async function startLimited (left: number, ...answers: Answer[]): Promise<{ rig: RelayRig, grants: Grants }> {
  const rig = await RelayRig.start({ repeatability: Repeatability.Idempotent, mostAttempts: 3 }, ...answers)
  const grants = new Grants(left)
  rig.limitProtocol = grants.protocol
  await rig.ask('first')
  return { rig, grants }
}

describe('a request for a server that stated a limit', () => {
  it('goes to another server where there is no room', async t => {
    const { rig } = await startLimited(0, answerWith('200 OK', LIMITED), answerWith('200 OK'))
    t.true((await rig.ask('second')).endsWith('ok'))
    t.deepEqual(rig.servers.map(({ arrivals }) => arrivals.map(({ id }) => id)), [['first'], ['second']])
    rig.stop()
  })

  it('is refused with a time to come back where no server has room', async t => {
    const { rig } = await startLimited(0, answerWith('200 OK', LIMITED))
    const answer = await rig.ask('second')
    t.regex(answer, /^HTTP\/1.1 503 /)
    t.regex(answer, /Retry-After: 1\.00/)
    t.is(rig.arrivals, 1)
    rig.stop()
  })

  // Guards against asking again and again within one turn of the event loop.
  it('asks once where the refusal tells an instant that has come', async t => {
    const { rig } = await startLimited(0, answerWith('200 OK', LIMITED))
    const grants = new Grants(0, rig.clock.now())
    rig.limitProtocol = grants.protocol
    t.regex(await rig.ask('second'), /^HTTP\/1.1 503 /)
    t.is(grants.claims, 1)
    rig.stop()
  })

  // Guards against retries that the limit does not count.
  it('is not sent again beyond the limit', async t => {
    const { rig } = await startLimited(1, answerWith('500 Failed', LIMITED), answerWith('500 Failed', LIMITED))
    const before = rig.arrivals
    t.regex(await rig.ask('second'), /^HTTP\/1.1 500 /)
    t.is(rig.arrivals, before + 1)
    rig.stop()
  })

  it('gives its place back where the server takes no connection', async t => {
    const { rig, grants } = await startLimited(1, answerWith('200 OK', LIMITED), answerWith('200 OK'))
    rig.servers[0]?.stop()
    t.true((await rig.ask('second')).endsWith('ok'))
    t.is(grants.givenBack, 1)
    rig.stop()
  })
})
