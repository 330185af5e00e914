import { AdministrativeState, Failure, FailureCode, ServerKind, type Configuration } from 'foxtaillever-core'
import { describe, it } from 'foxtaillever-testing'
import { createTestConfiguration } from '../__fixtures__/callers.js'
import { ServiceLimiter } from '../services/serviceLimiter.js'

const NOW = 1_000_000

function createServiceConfiguration (): Configuration {
  const base = createTestConfiguration({ servers: 2 })
  const plain = Object.fromEntries(['plain-1', 'plain-2'].map(name => [name, { ...Object.values(base.servers)[0], name, kind: ServerKind.Plain, models: [], state: AdministrativeState.InService }]))
  const service = (name: string): Configuration['services'][string] => ({ name, path: `/services/${name}`, servers: ['plain-1', 'plain-2'], calls: [], concurrentRequests: 4, timeoutMs: 1000 })
  return { ...base, servers: { ...base.servers, ...plain } as Configuration['servers'], services: { lookups: service('lookups'), exports: service('exports') } }
}

interface Caller {
  isServed: boolean
  code: FailureCode | undefined
  retryAt: number | undefined
}

function createGate (): { gate: ServiceLimiter, call: (id: string, service: string, deadline?: number) => Caller } {
  const gate = ServiceLimiter.create()
  gate.configure(createServiceConfiguration(), NOW)
  const call = (id: string, service: string, deadline = NOW + 1000): Caller => {
    const caller: Caller = { isServed: false, code: undefined, retryAt: undefined }
    gate.acquireSlot({ id, service, deadline }, NOW, result => result.caseOf({
      Left: failure => { Object.assign(caller, { code: failure.code, retryAt: failure.retryAt }) },
      Right: () => { caller.isServed = true }
    }))
    return caller
  }
  return { gate, call }
}

describe('the limiter of plain services', () => {
  // Exports stall and their calls pile up. Citation lookups must not wait for
  // them.
  it('serves one service while another is stalled', t => {
    const { call } = createGate()
    const exports = Array.from({ length: 20 }, (_, index) => call(`export-${index}`, 'exports'))
    t.is(exports.filter(({ isServed }) => isServed).length, 4)
    t.true(exports.some(({ code }) => code === FailureCode.Overloaded))
    t.true(call('lookup', 'lookups').isServed)
  })

  it('grants a freed slot to the call that has waited longest', t => {
    const { gate, call } = createGate()
    const calls = Array.from({ length: 6 }, (_, index) => call(String(index), 'lookups'))
    t.deepEqual(calls.map(({ isServed }) => isServed), [true, true, true, true, false, false])
    gate.releaseSlot('0', NOW + 5)
    t.true(calls[4]?.isServed)
    t.false(calls[5]?.isServed)
  })

  // The service hangs. A waiting call is refused at its deadline, not only when
  // the service recovers.
  it('refuses a waiting call at its deadline, and at once when it cannot be served by then', t => {
    const { gate, call } = createGate()
    const calls = Array.from({ length: 5 }, (_, index) => call(String(index), 'lookups', NOW + 100))
    gate.tick(NOW + 100)
    t.is(calls[4]?.code, FailureCode.DeadlinePassed)
    Array.from({ length: 6 }, (_, index) => call(`more-${index}`, 'lookups'))
    const late = call('late', 'lookups', NOW + 5)
    t.is(late.code, FailureCode.DeadlineUnreachable)
    t.true((late.retryAt ?? 0) > NOW)
  })

  // The instance is stopped while calls wait. Their callers must get a refusal at
  // once, so that they can retry at another instance, instead of a cut connection.
  it('refuses all waiting calls at a shutdown', t => {
    const { gate, call } = createGate()
    const calls = Array.from({ length: 6 }, (_, index) => call(String(index), 'lookups'))
    gate.refuseAll(Failure.notRun(FailureCode.Leaving, 'leaving'))
    t.deepEqual(calls.map(({ code }) => code), [undefined, undefined, undefined, undefined, FailureCode.Leaving, FailureCode.Leaving])
  })
})
