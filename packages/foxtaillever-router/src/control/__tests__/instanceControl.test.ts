import { emptyConfiguration, PresetName, PriorityClass, RecordKind, type ClientAccount } from 'foxtaillever-core'
import { ChangeKind, ConfigurationStore, MemberState, PublicationOutcome, type Change, type FleetDump, type PublicationRequest } from 'foxtaillever-fleet'
import { describe, it, VirtualClock } from 'foxtaillever-testing'
import type { RouterCoreState } from '../../core/routerCoreOptions.js'
import { Logs } from 'foxtaillever-telemetry'
import { Telemetry } from '../../telemetry/telemetry.js'
import { createDump } from '../createDump.js'
import { InstanceControl } from '../instanceControl.js'

const digest = 'ab'.repeat(32)
const account: ClientAccount = { name: 'vale', keyDigests: [digest], weight: 1, priority: PriorityClass.Standard, tokensPerSecond: 10, concurrentRequests: 1 }
const put: Change = { kind: ChangeKind.PutAccount, account }

function createBench () {
  const clock = VirtualClock.create()
  const store = ConfigurationStore.create()
  const published: PublicationRequest[] = []
  const logs = Logs.create({ instance: 'entry-1', level: 'silent', clock })
  const fleet = {
    store,
    publish: async (order: PublicationRequest) => {
      published.push(order)
      return { outcome: PublicationOutcome.Accepted, id: '', revision: 1, author: order.author, message: '' }
    },
    waitInForce: async (revision: number) => ({ revision, live: 1, inForce: 1, missing: [] }),
    memberEntries: () => [MemberState.Alive, MemberState.Suspect, MemberState.Dead].map((state, index) => ({ name: `entry-${index + 1}`, address: '', controlAddress: '', failureDomain: '', incarnation: 1, state, deadline: 0 })),
    dump: () => ({ members: [] }) as unknown as FleetDump
  }
  const core = { dump: () => ({ scheduler: { servers: {} } }) as unknown as RouterCoreState }
  const control = InstanceControl.create({ name: 'entry-1', failureDomain: 'recife', clock, fleet, core, telemetry: Telemetry.create({ instance: 'entry-1', clock, logs }), logs })
  return { control, store, published }
}

describe('control of an instance', () => {
  // A tool other than the project's command line publishes a service whose backend
  // server does not exist. If it were written to the log, every instance would
  // apply it and answer that service's callers with failures.
  it('refuses an invalid change before it is written', async t => {
    const { control, published } = createBench()
    const service: Change = { kind: ChangeKind.PutService, service: { name: 'orders', path: '/orders', servers: ['gone'], calls: [{ method: 'POST', path: '/', idempotent: false }], concurrentRequests: 1, timeoutMs: 1000 } }
    const failure = (await control.publish({ base: 0, author: 'ana', changes: [service], deadline: 1 })).swap().unsafeCoerce()
    t.true(failure.message.startsWith('services.orders.servers[0] names the backend server "gone", which does not exist.'))
    t.is(published.length, 0)
    t.true((await control.publish({ base: 0, author: 'ana', changes: [put], deadline: 1 })).isRight())
  })

  it('shows live and suspect instances, not dead ones', t => {
    const { control } = createBench()
    t.deepEqual(control.members().map(({ name, state }) => `${name} ${state}`), ['entry-1 live', 'entry-2 suspect'])
  })

  it('refuses to show figures of an account that does not exist', async t => {
    const { control } = createBench()
    t.true((await control.figures('nobody')).isLeft())
    t.true((await control.figures()).isRight())
  })

  describe('dump', () => {
    it('shows no key digest', t => {
      const { control, store } = createBench()
      store.applyRecord({ offset: 1, appendedAt: 0, id: 'x', kind: RecordKind.Configuration, writtenAt: 0, body: { base: 0, author: 'ana', changes: [put] } })
      const text = JSON.stringify(control.dump())
      t.true(text.includes('"vale"'))
      t.false(text.includes(digest))
    })

    it('truncates large tables and counts the omitted entries', t => {
      const parts = { table: Object.fromEntries(Array.from({ length: 1500 }, (_, index) => [`row${index}`, index])), lists: { long: Array.from({ length: 1001 }, () => 0) } }
      const { leftOut, parts: kept } = createDump({ name: '', failureDomain: '', takenAt: 0, configuration: { ...emptyConfiguration, presetInForce: PresetName.Peaks }, parts })
      t.deepEqual(leftOut, { table: 500, 'lists.long': 1 })
      t.is(Object.keys(kept['table'] as object).length, 1000)
    })
  })
})
