import { AdministrativeState, FailureCode, ServerKind, type Configuration } from 'foxtaillever-core'
import { describe, it } from 'foxtaillever-testing'
import { createTestConfiguration } from '../__fixtures__/callers.js'
import { CallOutcome, ServiceGate } from '../services/serviceGate.js'

const NOW = 1_000_000

function createServiceConfiguration (): Configuration {
  const base = createTestConfiguration({ servers: 2 })
  const plain = Object.fromEntries(['plain-1', 'plain-2'].map(name => [name, { ...Object.values(base.servers)[0], name, kind: ServerKind.Plain, models: [], state: AdministrativeState.InService }]))
  const service = (name: string): Configuration['services'][string] => ({ name, path: `/services/${name}`, servers: ['plain-1', 'plain-2'], calls: [], concurrentRequests: 4, timeoutMs: 1000 })
  return { ...base, servers: { ...base.servers, ...plain } as Configuration['servers'], services: { lookups: service('lookups'), exports: service('exports') } }
}

interface Caller {
  server: string
  code: FailureCode | undefined
  retryAt: number | undefined
}

function createGate (): { gate: ServiceGate, call: (id: string, service: string, deadline?: number) => Caller } {
  const gate = ServiceGate.create()
  gate.configure(createServiceConfiguration(), NOW)
  const call = (id: string, service: string, deadline = NOW + 1000): Caller => {
    const caller: Caller = { server: '', code: undefined, retryAt: undefined }
    gate.acquire({ id, service, deadline }, NOW, result => result.caseOf({
      Left: failure => { Object.assign(caller, { code: failure.code, retryAt: failure.retryAt }) },
      Right: pass => { caller.server = pass.server }
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
    t.is(exports.filter(({ server }) => server !== '').length, 4)
    t.true(exports.some(({ code }) => code === FailureCode.Overloaded))
    t.not(call('lookup', 'lookups').server, '')
  })

  it('spreads calls evenly and hands a free place to the one that waited longest', t => {
    const { gate, call } = createGate()
    const calls = Array.from({ length: 6 }, (_, index) => call(String(index), 'lookups'))
    t.deepEqual(calls.slice(0, 4).map(({ server }) => server).sort(), ['plain-1', 'plain-1', 'plain-2', 'plain-2'])
    gate.release('0', CallOutcome.Answered, NOW + 5)
    t.is(calls[4]?.server, calls[0]?.server)
    t.is(calls[5]?.server, '')
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

  // One of two servers answers nothing but errors. Half of all calls would fail.
  it('passes over a server that keeps failing, and tries it again later', t => {
    const { gate, call } = createGate()
    for (let index = 0; index < 10; index += 1) {
      const { server } = call(String(index), 'lookups')
      gate.release(String(index), server === 'plain-1' ? CallOutcome.Failed : CallOutcome.Answered, NOW)
    }
    t.is(call('next', 'lookups').server, 'plain-2')
    gate.release('next', CallOutcome.Answered, NOW)
    gate.observeLeaving('plain-2', true)
    t.is(call('only', 'lookups').server, 'plain-1')
  })
})
