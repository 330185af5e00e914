/**
 * While the platform's store is down, the entries of all backend servers expire.
 * Once it recovers, it reports the removals shortly before the servers write their
 * entries again. An instance that removes its servers at once refuses every request
 * for two seconds, though all servers work.
 */
import { Left, Right, type Either } from 'purify-ts'
import { describe, it, VirtualClock } from 'foxtaillever-testing'
import { Logs } from 'foxtaillever-telemetry'
import { ServerState, type ListedServer, type WantedWeights } from '../../model/listedServer.js'
import { OperatorKey } from '../../relayOptions.js'
import type { Routing } from '../../model/routing.js'
import type { KnownServer } from '../../servers/knownServer.js'
import { ServerDirectory } from '../../servers/serverDirectory.js'
import { RelayLog } from '../../telemetry/relayLog.js'
import { RecordHandler, type RecordHandlerOptions } from '../recordHandler.js'
import { positionAt } from '../storePosition.js'

function readEntry (id: string): ListedServer {
  return { id, startedAt: 0, service: 'chat', address: '127.0.0.1:1', failureDomain: 'one', slots: 1, state: ServerState.Ready, coldLeftMs: 0, softwareVersion: 'v1', weights: new Map() }
}

function createOptions (clock: VirtualClock): RecordHandlerOptions {
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
    removalsDeferredUntil: () => -Infinity,
    onRouting: () => {},
    onWeights: () => {}
  }
}

function createHandler (settledAt: number): { clock: VirtualClock, handler: RecordHandler, ready: () => string[] } {
  const clock = VirtualClock.create()
  const directory = ServerDirectory.create({ onChanged: () => {} })
  const handler = RecordHandler.create({ ...createOptions(clock), directory, removalsDeferredUntil: () => clock.now() < settledAt ? settledAt : -Infinity })
  return { clock, handler, ready: () => directory.ready('chat').map(({ listed }) => listed.id) }
}

const value = Buffer.from('entry')

describe('RecordHandler', () => {
  it('keeps servers whose entries expired while the store was down, if they write them again', async t => {
    const { clock, handler, ready } = createHandler(1_002_200)
    handler.applyServerRecord({ key: 'back', value, offset: 0 })
    handler.applyServerRecord({ key: 'gone', value, offset: 1 })
    handler.applyServerRecord({ key: 'back', value: undefined, offset: 2 })
    handler.applyServerRecord({ key: 'gone', value: undefined, offset: 3 })
    t.deepEqual(ready(), ['back', 'gone'])
    handler.applyServerRecord({ key: 'back', value, offset: 4 })
    await clock.advanceBy(2300)
    t.deepEqual(ready(), ['back'])
  })

  it('removes a server at once while the store works, and adds it again with its next entry', t => {
    const { handler, ready } = createHandler(-Infinity)
    handler.applyServerRecord({ key: 's', value, offset: 0 })
    handler.applyServerRecord({ key: 's', value: undefined, offset: 1 })
    t.deepEqual(ready(), [])
    handler.applyServerRecord({ key: 's', value, offset: 2 })
    t.deepEqual(ready(), ['s'])
  })

  // Guards against one record that ends the reading of all records behind it.
  describe('when a record cannot be applied', () => {
    const failing = (): never => { throw new RangeError('Maximum call stack size exceeded') }

    it('gives its server no work until the next entry', t => {
      const options = createOptions(VirtualClock.create())
      const server = (id: string, bytes: Buffer): Either<string, ListedServer> => bytes.toString() === 'odd' ? failing() : Right(readEntry(id))
      const handler = RecordHandler.create({ ...options, readers: { ...options.readers, server } })
      handler.applyServerRecord({ key: 's', value, offset: 0 })
      t.true(handler.applyServerRecord({ key: 's', value: Buffer.from('odd'), offset: 1 }))
      t.deepEqual(options.directory.ready('chat'), [])
      t.true(handler.applyServerRecord({ key: 's', value, offset: 2 }))
      t.is(options.directory.ready('chat').length, 1)
    })

    it('keeps the configuration and the weights in force', t => {
      for (const kind of [OperatorKey.Routing, OperatorKey.Weights]) {
        const options = createOptions(VirtualClock.create())
        const handler = RecordHandler.create({ ...options, readers: { ...options.readers, kindOfKey: () => kind, routing: failing, weights: failing } })
        t.true(handler.applyOperatorRecord({ key: 'config', value, offset: 0 }))
      }
    })
  })

  describe('when it decides which records to pass on', () => {
    function createEntryHandler (): { handler: RecordHandler, directory: ServerDirectory, apply: (text: string, offset: number) => boolean } {
      const options = createOptions(VirtualClock.create())
      const { directory } = options
      // Entries have the form STATE START.
      const server = (id: string, bytes: Buffer): Either<string, ListedServer> => {
        const [state, startedAt] = bytes.toString().split(' ')
        return state === 'garbage' ? Left(state) : Right({ ...readEntry(id), state: state as ServerState, startedAt: Number(startedAt) })
      }
      const handler = RecordHandler.create({ ...options, readers: { ...options.readers, server } })
      return { handler, directory, apply: (text, offset) => handler.applyServerRecord({ key: 's', value: Buffer.from(text), offset }) }
    }

    // Guards against an instance that does not pass an entry on because it has learned the same from an answer.
    it('passes on that a server leaves, although the server stated it before', t => {
      const { directory, apply } = createEntryHandler()
      t.true(apply('ready 1', 0))
      directory.markLeaving('s', 1000)
      t.false(apply('ready 1', 1))
      t.true(apply('draining 1', 2))
      t.false(apply('draining 1', 3))
    })

    it('passes on the entry of an incarnation that it knew from an answer, and a late entry of the former one', t => {
      const { directory, apply } = createEntryHandler()
      apply('ready 1', 0)
      directory.recordStart(directory.get('s') as KnownServer, 2)
      t.true(apply('draining 1', 1))
      t.true(apply('ready 2', 2))
      t.false(apply('ready 2', 3))
    })

    it('passes on once that the entry of a server that leaves cannot be read', t => {
      const { directory, apply } = createEntryHandler()
      apply('ready 1', 0)
      directory.markLeaving('s', 1000)
      t.true(apply('garbage', 1))
      t.false(apply('garbage', 2))
      t.true(apply('ready 1', 3))
    })

    it('passes on a removal and the entry after it, and no unreadable entry of an unknown server', t => {
      const { handler, apply } = createEntryHandler()
      t.false(apply('garbage', 0))
      t.true(apply('ready 1', 1))
      t.true(handler.applyServerRecord({ key: 's', value: undefined, offset: 2 }))
      t.true(apply('ready 1', 3))
    })

    // Guards against a starting instance that finds no named weights at any other.
    it('passes on named weights, although another instance named newer ones before', t => {
      const options = createOptions(VirtualClock.create())
      const weights = (bytes: Buffer): Either<string, WantedWeights> => Right({ model: 'm', version: Number(bytes.toString()) })
      const handler = RecordHandler.create({ ...options, readers: { ...options.readers, weights, kindOfKey: () => OperatorKey.Weights }, onWeights: () => {} })
      const apply = (version: number, offset: number): boolean => handler.applyOperatorRecord({ key: 'version/m', value: Buffer.from(String(version)), offset })
      t.true(apply(3, 0))
      t.false(apply(2, positionAt(1, 0)))
      t.true(apply(4, positionAt(1, 1)))
    })
  })

  describe('with configurations of a restored store', () => {
    const text = (revision: number, contents: string): Buffer => Buffer.from(`${revision} ${contents}`)

    function createRoutingHandler (): { handler: RecordHandler, applied: string[] } {
      const clock = VirtualClock.create()
      const applied: string[] = []
      const options = createOptions(clock)
      const handler = RecordHandler.create({
        ...options,
        readers: {
          ...options.readers,
          routing: bytes => Right({ revision: Number(bytes.toString().split(' ')[0]), text: bytes.toString() } as unknown as Routing),
          kindOfKey: () => OperatorKey.Routing
        },
        onRouting: routing => applied.push((routing as unknown as { readonly text: string }).text)
      })
      return { handler, applied }
    }

    // Guards against a return to the older configuration of the backup.
    it('keeps the newest revision, whatever its position', t => {
      const { handler, applied } = createRoutingHandler()
      t.true(handler.applyOperatorRecord({ key: 'config', value: text(5, 'a'), offset: 9 }))
      t.false(handler.applyOperatorRecord({ key: 'config', value: text(4, 'a'), offset: positionAt(1, 2) }))
      t.true(handler.applyOperatorRecord({ key: 'config', value: text(6, 'a'), offset: 10 }))
      t.deepEqual(applied, ['5 a', '6 a'])
    })

    // A revision may be assigned again with other contents after a restore: the one confirmed later must win.
    it('applies other contents of the same revision if they were written later', t => {
      const { handler, applied } = createRoutingHandler()
      t.true(handler.applyOperatorRecord({ key: 'config', value: text(5, 'lost'), offset: 9 }))
      t.true(handler.applyOperatorRecord({ key: 'config', value: text(5, 'again'), offset: positionAt(1, 2) }))
      t.false(handler.applyOperatorRecord({ key: 'config', value: text(5, 'lost'), offset: 9 }))
      t.deepEqual(applied, ['5 lost', '5 again'])
    })
  })
})
