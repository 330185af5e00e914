/**
 * A backend server crashes and starts again under the same id. If an instance takes it
 * for the same incarnation, it assumes that prompts and queues are still there, avoids
 * the server for faults that it no longer has, or sends requests on dead connections;
 * callers wait in vain or are refused.
 */
import { describe, it } from 'foxtaillever-testing'
import { ServerState, type ListedServer } from '../../model/listedServer.js'
import type { KnownServer } from '../knownServer.js'
import { ServerDirectory } from '../serverDirectory.js'

const MODEL = 'model'
const FORMER = 1_700_000_000_000
const NEXT = FORMER + 9000

function entry (startedAt: number, version = 1, state = ServerState.Ready): ListedServer {
  return { id: 'e', startedAt, service: 's', address: '127.0.0.1:1', failureDomain: 'a', slots: 8, state, coldLeftMs: 0, softwareVersion: 'v1', weights: new Map([[MODEL, version]]) }
}

interface Rig {
  readonly directory: ServerDirectory
  readonly former: KnownServer
  readonly changes: string[]
}

/** A directory with one server that has every kind of known state. */
function createRig (): Rig {
  const changes: string[] = []
  const directory = ServerDirectory.create({ onChanged: ({ state }, before) => { changes.push(`${before ?? 'none'} to ${state}`) } })
  directory.applyEntry(entry(FORMER), 0)
  const former = directory.get('e') as KnownServer
  Object.assign(former, { outstanding: 7, unreadTokens: 9000, heldTokens: 9000, refusedAt: 5, newestAnsweredSentAt: 5, changingUntil: 1e15, changingTo: { model: MODEL, version: 9 }, speed: { tokensPerMs: 20, weightStep: -2 } })
  directory.recordWeights(former, MODEL, 4)
  for (let fault = 0; fault < 20; fault++) {
    directory.observations.recordFault(former, 1000)
  }
  changes.length = 0
  return { directory, former, changes }
}

function current (directory: ServerDirectory): KnownServer {
  return directory.get('e') as KnownServer
}

describe('a backend server that starts again under its id', () => {
  it('keeps none of the state that was known of its previous incarnation', t => {
    const { directory, former, changes } = createRig()
    directory.applyEntry(entry(NEXT, 3), 1)
    const next = current(directory)
    t.not(next, former)
    t.is(next.weights.get(MODEL), 3)
    t.deepEqual([next.outstanding, next.unreadTokens, next.heldTokens, next.refusedAt, next.newestAnsweredSentAt, next.changingUntil, next.changingTo, next.speed.tokensPerMs, next.speed.weightStep], [0, 0, 0, 0, 0, 0, undefined, undefined, 0])
    t.true(former.health.faultShare(1000) > 0)
    t.is(next.health.faultShare(1000), 0)
    t.deepEqual(changes, ['none to ready'])
    t.deepEqual(directory.ready('s'), [next])
  })

  it('is not changed by a late answer, peer message or report of the former incarnation', t => {
    const { directory, former } = createRig()
    directory.applyEntry(entry(NEXT, 3), 1)
    const next = current(directory)
    directory.recordWeights(former, MODEL, 8)
    directory.observations.recordFault(former, 1000)
    former.outstanding -= 1
    t.is(directory.getByHash(former.hash), undefined)
    t.false(directory.recordStart(next, FORMER))
    t.is(current(directory), next)
    t.is(next.listed.state, ServerState.Ready)
    t.is(next.weights.get(MODEL), 3)
    t.is(next.outstanding, 0)
    t.is(next.health.faultShare(1000), 0)
  })

  // Guards against a word that it leaves which is ignored, and against a server that counts as leaving for ever after a late
  // entry of its former incarnation.
  it('gets no work after a later entry of another incarnation that leaves, until its own next entry', t => {
    for (const other of [FORMER, NEXT + 1]) {
      const { directory } = createRig()
      directory.applyEntry(entry(NEXT, 3), 1)
      directory.applyEntry(entry(other, 7, ServerState.Draining), 2)
      t.deepEqual(directory.ready('s'), [])
      directory.applyEntry(entry(NEXT, 3), 3)
      t.is(current(directory).listed.startedAt, NEXT)
      t.is(current(directory).weights.get(MODEL), 3)
      t.is(directory.ready('s').length, 1)
    }
  })

  // Guards against a server whose entries are ignored for good, because an earlier record names a later start: a clock that was
  // set back, or another writer.
  it('is known as its latest entry says, whatever start an earlier one names', t => {
    const { directory } = createRig()
    directory.applyEntry(entry(NEXT), 1)
    directory.applyEntry({ ...entry(FORMER - 1), address: '127.0.0.1:2' }, 2)
    t.is(current(directory).listed.address, '127.0.0.1:2')
    t.true(directory.recordStart(current(directory), FORMER - 1))
    directory.applyEntry(entry(FORMER - 1, 1, ServerState.Draining), 3)
    t.deepEqual(directory.ready('s'), [])
    directory.remove('e', 4)
    directory.applyEntry(entry(FORMER - 2), 5)
    t.is(directory.ready('s').length, 1)
  })

  it('gets no work after it reported a new start while its entry says that it leaves, until its next entry', t => {
    const { directory, former } = createRig()
    directory.applyEntry(entry(FORMER, 1, ServerState.Draining), 1)
    directory.recordStart(former, NEXT)
    t.deepEqual(directory.ready('s'), [])
    directory.applyEntry(entry(FORMER, 1, ServerState.Draining), 2)
    t.deepEqual(directory.ready('s'), [])
    directory.applyEntry(entry(NEXT), 3)
    t.is(directory.ready('s').length, 1)
  })

  it('is known by its own report before the list contains it, and a late list entry of the former incarnation changes nothing', t => {
    const { directory, former } = createRig()
    t.false(directory.recordStart(former, NEXT))
    const next = current(directory)
    t.is(next.listed.startedAt, NEXT)
    t.is(directory.getByHash(next.hash), next)
    directory.applyEntry(entry(FORMER, 7), 5)
    t.is(current(directory), next)
    directory.applyEntry(entry(NEXT, 3), 6)
    t.is(current(directory), next)
    t.is(next.weights.get(MODEL), 3)
  })

  it('is the same incarnation when it reports the same start', t => {
    const { directory, former } = createRig()
    directory.applyEntry(entry(FORMER, 5), 1)
    t.is(current(directory), former)
    t.is(former.weights.get(MODEL), 5)
    t.is(former.outstanding, 7)
    t.true(directory.recordStart(former, FORMER))
  })

  it('serves although the former incarnation was leaving, which never returns, not even after a removal', t => {
    const { directory } = createRig()
    directory.applyEntry(entry(FORMER, 1, ServerState.Draining), 1)
    directory.applyEntry(entry(FORMER, 1), 2)
    t.is(current(directory).listed.state, ServerState.Draining)
    directory.applyEntry(entry(NEXT), 3)
    t.is(current(directory).listed.state, ServerState.Ready)
    directory.remove('e', 4)
    directory.applyEntry(entry(FORMER), 5)
    t.deepEqual(directory.ready('s'), [])
    directory.applyEntry(entry(NEXT), 6)
    t.is(current(directory).listed.startedAt, NEXT)
  })
})

describe('an entry that cannot be read', () => {
  // Another writer overwrote the entry of a live server. Because the server did not write this entry, no new work is sent
  // there; requests in flight continue, and the server's next own entry restores it as it was.
  it('keeps new work from its server until an entry can be read again', t => {
    const { directory, former } = createRig()
    directory.markUnreadable('e', 1)
    t.deepEqual(directory.ready('s'), [])
    directory.markUnreadable('e', 2)
    directory.applyEntry(entry(FORMER), 1)
    t.deepEqual(directory.ready('s'), [])
    directory.applyEntry(entry(FORMER), 3)
    t.deepEqual(directory.ready('s'), [former])
    t.is(former.outstanding, 7)
  })

  it('does not make a leaving server ready, and adds no unknown server', t => {
    const { directory } = createRig()
    directory.applyEntry(entry(FORMER, 1, ServerState.Draining), 1)
    directory.markUnreadable('e', 2)
    directory.applyEntry(entry(FORMER), 3)
    t.deepEqual(directory.ready('s'), [])
    directory.markUnreadable('other', 4)
    t.is(directory.get('other'), undefined)
  })
})

describe('a server that stated in an answer that it leaves', () => {
  const RECEIVED_AT = FORMER + 4000

  // Guards against older list entries that override the server's own statement.
  it('stays leaving through entries, a removal and a return to the list', t => {
    const { directory, changes } = createRig()
    t.true(directory.markLeaving('e', RECEIVED_AT))
    t.false(directory.markLeaving('e', RECEIVED_AT + 1))
    directory.applyEntry(entry(FORMER), 1)
    t.deepEqual(directory.ready('s'), [])
    directory.remove('e', 2)
    directory.applyEntry(entry(FORMER), 3)
    t.deepEqual(directory.ready('s'), [])
    t.deepEqual(changes, ['ready to draining', 'draining to gone', 'none to draining'])
  })

  it('stays leaving if the statement arrived while the list did not contain it', t => {
    const { directory } = createRig()
    directory.remove('e', 1)
    directory.markLeaving('e', RECEIVED_AT)
    directory.applyEntry(entry(FORMER), 2)
    t.deepEqual(directory.ready('s'), [])
  })

  it('serves again once it has started again', t => {
    const { directory } = createRig()
    directory.markLeaving('e', RECEIVED_AT)
    directory.applyEntry(entry(NEXT), 1)
    t.is(current(directory).listed.state, ServerState.Ready)
  })

  // Guards against a start that is learned late and discards statements made after it.
  it('stays leaving if it stated so after the start that becomes known', t => {
    for (const learn of [
      (directory: ServerDirectory) => directory.applyEntry(entry(NEXT), 1),
      (directory: ServerDirectory, former: KnownServer) => directory.recordStart(former, NEXT)
    ]) {
      const { directory, former } = createRig()
      directory.markLeaving('e', NEXT + 1)
      learn(directory, former)
      t.is(current(directory).listed.startedAt, NEXT)
      t.deepEqual(directory.ready('s'), [])
    }
  })

  it('is not added if it is unknown', t => {
    t.false(createRig().directory.markLeaving('other', RECEIVED_AT))
  })
})
