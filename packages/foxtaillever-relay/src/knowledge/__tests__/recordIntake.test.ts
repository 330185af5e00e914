/**
 * The entries of all backend servers expire while the platform's store is down,
 * and the store tells so when it is back, shortly before the servers write them
 * again. An instance that drops its servers at that word turns every request
 * away for two seconds, though all servers work.
 */
import { Right } from 'purify-ts'
import { describe, it, VirtualClock } from 'foxtaillever-testing'
import { Logs } from 'foxtaillever-telemetry'
import { ServerState, type ListedServer } from '../../model/listedServer.js'
import { OperatorKey } from '../../relayOptions.js'
import type { Routing } from '../../model/routing.js'
import { ServerDirectory } from '../../servers/serverDirectory.js'
import { RelayLog } from '../../telemetry/relayLog.js'
import { RecordIntake, type RecordIntakeOptions } from '../recordIntake.js'
import { positionAt } from '../storePosition.js'

function readEntry (id: string): ListedServer {
  return { id, startedAt: 0, service: 'chat', address: '127.0.0.1:1', failureDomain: 'one', slots: 1, state: ServerState.Ready, coldLeftMs: 0, weights: new Map() }
}

function createOptions (clock: VirtualClock): RecordIntakeOptions {
  return {
    clock,
    log: RelayLog.create(Logs.create({ instance: 'a', level: 'silent', clock })),
    readers: {
      routing: () => { throw new Error('not read here') },
      weights: () => { throw new Error('not read here') },
      server: id => Right(readEntry(id)),
      kindOfKey: () => OperatorKey.Other
    },
    directory: ServerDirectory.create({ onChanged: () => {} }),
    settledAt: () => -Infinity,
    onRouting: () => {},
    onWeights: () => true
  }
}

function createIntake (settledAt: number): { clock: VirtualClock, intake: RecordIntake, ready: () => string[] } {
  const clock = VirtualClock.create()
  const directory = ServerDirectory.create({ onChanged: () => {} })
  const intake = RecordIntake.create({ ...createOptions(clock), directory, settledAt: () => clock.now() < settledAt ? settledAt : -Infinity })
  return { clock, intake, ready: () => directory.ready('chat').map(({ listed }) => listed.id) }
}

const value = Buffer.from('entry')

describe('RecordIntake', () => {
  it('keeps servers whose entries expired while the store was down, if they come back', async t => {
    const { clock, intake, ready } = createIntake(1_002_200)
    intake.takeServer({ key: 'back', value, offset: 0 })
    intake.takeServer({ key: 'gone', value, offset: 1 })
    intake.takeServer({ key: 'back', value: undefined, offset: 2 })
    intake.takeServer({ key: 'gone', value: undefined, offset: 3 })
    t.deepEqual(ready(), ['back', 'gone'])
    intake.takeServer({ key: 'back', value, offset: 4 })
    await clock.advanceBy(2300)
    t.deepEqual(ready(), ['back'])
  })

  it('drops a server at once while the store is well, and takes it again when it comes back', t => {
    const { intake, ready } = createIntake(-Infinity)
    intake.takeServer({ key: 's', value, offset: 0 })
    intake.takeServer({ key: 's', value: undefined, offset: 1 })
    t.deepEqual(ready(), [])
    intake.takeServer({ key: 's', value, offset: 2 })
    t.deepEqual(ready(), ['s'])
  })

  describe('with configurations of a restored store', () => {
    const text = (revision: number, contents: string): Buffer => Buffer.from(`${revision} ${contents}`)

    function createRoutingIntake (): { intake: RecordIntake, taken: string[] } {
      const clock = VirtualClock.create()
      const taken: string[] = []
      const options = createOptions(clock)
      const intake = RecordIntake.create({
        ...options,
        readers: {
          ...options.readers,
          routing: bytes => Right({ revision: Number(bytes.toString().split(' ')[0]), text: bytes.toString() } as unknown as Routing),
          kindOfKey: () => OperatorKey.Routing
        },
        onRouting: routing => taken.push((routing as unknown as { readonly text: string }).text)
      })
      return { intake, taken }
    }

    // Guards against a configuration that goes back to the one in the copy.
    it('keeps the newest revision, at whatever position it stands', t => {
      const { intake, taken } = createRoutingIntake()
      t.true(intake.takeOperators({ key: 'config', value: text(5, 'a'), offset: 9 }))
      t.false(intake.takeOperators({ key: 'config', value: text(4, 'a'), offset: positionAt(1, 2) }))
      t.true(intake.takeOperators({ key: 'config', value: text(6, 'a'), offset: 10 }))
      t.deepEqual(taken, ['5 a', '6 a'])
    })

    // Guards against other contents under a revision that is known: the one confirmed later counts.
    it('takes other contents of the same revision where they were written later', t => {
      const { intake, taken } = createRoutingIntake()
      t.true(intake.takeOperators({ key: 'config', value: text(5, 'lost'), offset: 9 }))
      t.true(intake.takeOperators({ key: 'config', value: text(5, 'again'), offset: positionAt(1, 2) }))
      t.false(intake.takeOperators({ key: 'config', value: text(5, 'lost'), offset: 9 }))
      t.deepEqual(taken, ['5 lost', '5 again'])
    })
  })
})
