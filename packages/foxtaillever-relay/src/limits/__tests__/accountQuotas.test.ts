import { PassThrough } from 'node:stream'
import { LimitOutcome, LimitRole } from 'foxtaillever-policy/limits/sharedLimitLedger'
import { Logs } from 'foxtaillever-telemetry'
import { describe, it } from 'foxtaillever-testing'
import { plainRoute, RelayRig } from '../../__fixtures__/relayRig.js'
import type { Exchange } from '../../model/exchange.js'
import { QuotaUnit, type RelayQuota } from '../../model/routing.js'
import { RelayLog } from '../../telemetry/relayLog.js'
import { AccountQuotas } from '../accountQuotas.js'
import type { LimitProtocol, LimitResult } from '../limitProtocol.js'

const quota: RelayQuota = { unit: QuotaUnit.Tokens, perSecond: 1000, burst: 1000, unmeasuredTokens: 200 }

/** Requests of the rig have no key; they count for this account. */
const account = { name: 'acme', apiKeys: [], priority: undefined, isIsolated: false, quota }

interface Told {
  readonly costs: number[]
  readonly givenBack: number[]
}

/** A desk whose owner says the same of every request. */
function deskOf (rig: RelayRig, result: Partial<LimitResult>, told: Told = { costs: [], givenBack: [] }): AccountQuotas {
  const { clock } = rig
  const protocol: Pick<LimitProtocol, 'claim' | 'giveBack'> = {
    claim: ({ cost }, go) => {
      told.costs.push(cost)
      go({ outcome: LimitOutcome.Granted, role: LimitRole.Owner, decidedBy: '10.0.0.1:1', retryAt: clock.now(), ...result })
    },
    giveBack: (_, cost) => { told.givenBack.push(cost) }
  }
  const log = RelayLog.create(Logs.create({ instance: 'i', level: 'silent', clock, destination: new PassThrough() }))
  const desk = AccountQuotas.create({ clock, log, protocol: () => protocol, revision: () => 1 })
  rig.quota = { admit: (exchange, go) => desk.admit({ ...exchange, account }, go), giveBack: exchange => desk.giveBack({ ...exchange, account }) }
  return desk
}

const wellAnswered = ({ id, socket }: { id: string, socket: { write: (text: string) => unknown } }): void => {
  socket.write(`HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\nstamp: s\r\ncontent-length: 2\r\n\r\nok`)
}

describe('the quota of a request\'s account', () => {
  // A caller is over its account's quota. It has to hear at once that nothing ran, and when there will be room.
  it('refuses at once, truthfully not run, with a time to come back', async t => {
    const rig = await RelayRig.start({}, wellAnswered)
    deskOf(rig, { outcome: LimitOutcome.Refused, retryAt: rig.clock.now() + 1250 })
    const answer = await rig.ask('a')
    rig.stop()
    t.true(answer.startsWith('HTTP/1.1 429'), answer)
    t.true(answer.includes('Retry-After: 1.25'), answer)
    t.true(answer.includes('"verdict":"not_run"'), answer)
    t.is(rig.arrivals, 0)
  })

  // Nobody who decides can be reached. The caller is not over its quota, as far as anybody knows, and must not be told so.
  it('answers 503 where nobody decides', async t => {
    const rig = await RelayRig.start({}, wellAnswered)
    deskOf(rig, { outcome: LimitOutcome.NotMine })
    const answer = await rig.ask('a')
    rig.stop()
    t.true(answer.startsWith('HTTP/1.1 503'), answer)
    t.is(rig.arrivals, 0)
  })

  it('counts what a request says, and what the operator set for one that says nothing', async t => {
    const rig = await RelayRig.start({}, wellAnswered)
    const told: Told = { costs: [], givenBack: [] }
    const desk = deskOf(rig, {}, told)
    const exchange = { id: 'a', account, route: plainRoute } as unknown as Exchange
    desk.admit({ ...exchange, prompt: { model: 'm', levels: [], promptTokens: 1500, outputTokens: 80 } }, () => {})
    desk.admit({ ...exchange, prompt: { model: 'm', levels: [], promptTokens: 0, outputTokens: 0 } }, () => {})
    desk.admit({ ...exchange, prompt: undefined }, () => {})
    desk.admit({ ...exchange, prompt: undefined, account: { ...account, quota: { ...quota, unit: QuotaUnit.Requests } } }, () => {})
    rig.stop()
    t.deepEqual(told.costs, [1580, 200, 200, 1])
  })

  // All servers are full and nothing ran. Counted all the same, the caller that comes back would find its quota used up.
  it('gets back what a request was counted that did not run, and keeps what one was that did', async t => {
    const rig = await RelayRig.start({}, ({ id, socket }) => {
      socket.write(id === 'full'
        ? `HTTP/1.1 503 Full\r\nrequest-id: ${id}\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n`
        : `HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\nstamp: s\r\ncontent-length: 2\r\n\r\nok`)
    })
    const told: Told = { costs: [], givenBack: [] }
    deskOf(rig, {}, told)
    t.true((await rig.ask('full')).startsWith('HTTP/1.1 503'))
    t.deepEqual(told.givenBack, [200])
    t.true((await rig.ask('well')).startsWith('HTTP/1.1 200'))
    rig.stop()
    t.deepEqual(told, { costs: [200, 200], givenBack: [200] })
  })
})
