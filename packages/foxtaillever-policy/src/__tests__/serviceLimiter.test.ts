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

describe('the gate of plain services', () => {
  // Exports stall, and their calls pile up. A partner who looks up a citation
  // must not wait for them.
  it('serves one service while another is stalled', t => {
    const { call } = createGate()
    const exports = Array.from({ length: 20 }, (_, index) => call(`export-${index}`, 'exports'))
    t.is(exports.filter(({ isServed }) => isServed).length, 4)
    t.true(exports.some(({ code }) => code === FailureCode.Overloaded))
    t.true(call('lookup', 'lookups').isServed)
  })

  it('hands a free place to the one that waited longest', t => {
    const { gate, call } = createGate()
    const calls = Array.from({ length: 6 }, (_, index) => call(String(index), 'lookups'))
    t.deepEqual(calls.map(({ isServed }) => isServed), [true, true, true, true, false, false])
    gate.releaseSlot('0', NOW + 5)
    t.true(calls[4]?.isServed)
    t.false(calls[5]?.isServed)
  })

  // The service hangs. A call that waits for it gets its answer at its deadline,
  // not when the service comes back.
  it('refuses a waiting call at its deadline, and one that cannot make it at once', t => {
    const { gate, call } = createGate()
    const calls = Array.from({ length: 5 }, (_, index) => call(String(index), 'lookups', NOW + 100))
    gate.tick(NOW + 100)
    t.is(calls[4]?.code, FailureCode.DeadlinePassed)
    Array.from({ length: 6 }, (_, index) => call(`more-${index}`, 'lookups'))
    const late = call('late', 'lookups', NOW + 5)
    t.is(late.code, FailureCode.DeadlineUnreachable)
    t.true((late.retryAt ?? 0) > NOW)
  })

  // The instance is stopped while calls wait for their turn. Their callers hear
  // at once that they can go elsewhere, not that the connection was cut.
  it('refuses all that wait at a shutdown', t => {
    const { gate, call } = createGate()
    const calls = Array.from({ length: 6 }, (_, index) => call(String(index), 'lookups'))
    gate.refuseAll(Failure.notRun(FailureCode.Leaving, 'leaving'))
    t.deepEqual(calls.map(({ code }) => code), [undefined, undefined, undefined, undefined, FailureCode.Leaving, FailureCode.Leaving])
  })
})
