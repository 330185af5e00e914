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

/** Requests of the rig have no API key; they are counted against this account. */
const account = { name: 'acme', apiKeys: [], priority: undefined, isIsolated: false, quota }

interface ProtocolCalls {
  readonly costs: number[]
  readonly refunds: number[]
}

/** Installs quotas in the rig whose owner decides the same for every request. */
function installQuotas (rig: RelayRig, result: Partial<LimitResult>, calls: ProtocolCalls = { costs: [], refunds: [] }): AccountQuotas {
  const { clock } = rig
  const protocol: Pick<LimitProtocol, 'claim' | 'refund'> = {
    claim: ({ cost }, onResult) => {
      calls.costs.push(cost)
      onResult({ outcome: LimitOutcome.Granted, role: LimitRole.Owner, decidedBy: '10.0.0.1:1', retryAt: clock.now(), ...result })
    },
    refund: (_, cost) => { calls.refunds.push(cost) }
  }
  const log = RelayLog.create(Logs.create({ instance: 'i', level: 'silent', clock, destination: new PassThrough() }))
  const quotas = AccountQuotas.create({ clock, log, protocol: () => protocol, revision: () => 1 })
  rig.quota = { admit: (exchange, onDecided) => quotas.admit({ ...exchange, account }, onDecided), refund: exchange => quotas.refund({ ...exchange, account }) }
  return quotas
}

const answerOk = ({ id, socket }: { id: string, socket: { write: (text: string) => unknown } }): void => {
  socket.write(`HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\nstamp: s\r\ncontent-length: 2\r\n\r\nok`)
}

describe('the quota of a request\'s account', () => {
  // A caller over its account's quota must learn at once that nothing ran, and when to retry.
  it('refuses at once with the verdict not_run and a time to retry', async t => {
    const rig = await RelayRig.start({}, answerOk)
    installQuotas(rig, { outcome: LimitOutcome.Refused, retryAt: rig.clock.now() + 1250 })
    const answer = await rig.sendRequest('a')
    rig.stop()
    t.true(answer.startsWith('HTTP/1.1 429'), answer)
    t.true(answer.includes('Retry-After: 1.25'), answer)
    t.true(answer.includes('"verdict":"not_run"'), answer)
    t.is(rig.arrivals, 0)
  })

  // No instance that decides can be reached. The caller may be below its quota and must not be refused as over it.
  it('answers 503 where no instance decides', async t => {
    const rig = await RelayRig.start({}, answerOk)
    installQuotas(rig, { outcome: LimitOutcome.NotMine })
    const answer = await rig.sendRequest('a')
    rig.stop()
    t.true(answer.startsWith('HTTP/1.1 503'), answer)
    t.is(rig.arrivals, 0)
  })

  it('counts the tokens that a request states, or the configured default if it states none', async t => {
    const rig = await RelayRig.start({}, answerOk)
    const calls: ProtocolCalls = { costs: [], refunds: [] }
    const quotas = installQuotas(rig, {}, calls)
    const exchange = { id: 'a', account, route: plainRoute } as unknown as Exchange
    quotas.admit({ ...exchange, prompt: { model: 'm', levels: [], promptTokens: 1500, outputTokens: 80 } }, () => {})
    quotas.admit({ ...exchange, prompt: { model: 'm', levels: [], promptTokens: 0, outputTokens: 0 } }, () => {})
    quotas.admit({ ...exchange, prompt: undefined }, () => {})
    quotas.admit({ ...exchange, prompt: undefined, account: { ...account, quota: { ...quota, unit: QuotaUnit.Requests } } }, () => {})
    rig.stop()
    t.deepEqual(calls.costs, [1580, 200, 200, 1])
  })

  // All servers are full and nothing ran. Without a refund, a caller that retries would find its quota used up.
  it('is refunded for a request that did not run, and stays charged for one that did', async t => {
    const rig = await RelayRig.start({}, ({ id, socket }) => {
      socket.write(id === 'full'
        ? `HTTP/1.1 503 Full\r\nrequest-id: ${id}\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n`
        : `HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\nstamp: s\r\ncontent-length: 2\r\n\r\nok`)
    })
    const calls: ProtocolCalls = { costs: [], refunds: [] }
    installQuotas(rig, {}, calls)
    t.true((await rig.sendRequest('full')).startsWith('HTTP/1.1 503'))
    t.deepEqual(calls.refunds, [200])
    t.true((await rig.sendRequest('well')).startsWith('HTTP/1.1 200'))
    rig.stop()
    t.deepEqual(calls, { costs: [200, 200], refunds: [200] })
  })
})
