/**
 * A backend server crashes and starts again under the id that it had. An instance
 * that takes it for the same server believes that it still has what was loaded and
 * queued, keeps work from it for faults that it no longer has, or sends requests on
 * connections that lead nowhere; callers wait for nothing, or get a refusal.
 */
import { describe, it } from 'foxtaillever-testing'
import { ServerState, type ListedServer } from '../../model/listedServer.js'
import type { KnownServer } from '../knownServer.js'
import { ServerDirectory } from '../serverDirectory.js'

const MODEL = 'model'
const FORMER = 1_700_000_000_000
const NEXT = FORMER + 9000

function entry (startedAt: number, version = 1, state = ServerState.Ready): ListedServer {
  return { id: 'e', startedAt, service: 's', address: '127.0.0.1:1', failureDomain: 'a', slots: 8, state, coldLeftMs: 0, weights: new Map([[MODEL, version]]) }
}

interface Believed {
  readonly directory: ServerDirectory
  readonly former: KnownServer
  readonly changes: string[]
}

/** A server with all that may be believed of one. */
function believe (): Believed {
  const changes: string[] = []
  const directory = ServerDirectory.create({ onChanged: ({ state }, before) => { changes.push(`${before ?? 'none'} to ${state}`) } })
  directory.observe(entry(FORMER), 0)
  const former = directory.get('e') as KnownServer
  Object.assign(former, { outstanding: 7, unreadTokens: 9000, heldTokens: 9000, refusedAt: 5, newestBegun: 5, changingUntil: 1e15, changingTo: { model: MODEL, version: 9 } })
  directory.observeWeights(former, MODEL, 4)
  for (let fault = 0; fault < 20; fault++) {
    directory.experience.observeFault(former, 1000)
  }
  changes.length = 0
  return { directory, former, changes }
}

function current (directory: ServerDirectory): KnownServer {
  return directory.get('e') as KnownServer
}

describe('a backend server that starts again under its id', () => {
  it('has nothing of what was believed of it before', t => {
    const { directory, former, changes } = believe()
    t.true(directory.observe(entry(NEXT, 3), 1))
    const next = current(directory)
    t.not(next, former)
    t.is(next.weights.get(MODEL), 3)
    t.deepEqual([next.outstanding, next.unreadTokens, next.heldTokens, next.refusedAt, next.newestBegun, next.changingUntil, next.changingTo], [0, 0, 0, 0, 0, 0, undefined])
    t.true(former.health.faultShare(1000) > 0)
    t.is(next.health.faultShare(1000), 0)
    t.deepEqual(changes, ['none to ready'])
    t.deepEqual(directory.ready('s'), [next])
  })

  it('is not changed by what comes late from the former one: an answer, a peer\'s word, a report, an entry', t => {
    const { directory, former } = believe()
    directory.observe(entry(NEXT, 3), 1)
    const next = current(directory)
    directory.observeWeights(former, MODEL, 8)
    directory.experience.observeFault(former, 1000)
    former.outstanding -= 1
    t.is(directory.ofHash(former.hash), undefined)
    t.false(directory.observeStart(next, FORMER))
    t.false(directory.observe(entry(FORMER, 7, ServerState.Draining), 2))
    t.is(current(directory), next)
    t.is(next.listed.state, ServerState.Ready)
    t.is(next.weights.get(MODEL), 3)
    t.is(next.outstanding, 0)
    t.is(next.health.faultShare(1000), 0)
  })

  it('is known by its own word before the list names it, and the list\'s late word of the former one changes nothing', t => {
    const { directory, former } = believe()
    t.false(directory.observeStart(former, NEXT))
    const next = current(directory)
    t.is(next.listed.startedAt, NEXT)
    t.is(directory.ofHash(next.hash), next)
    directory.observe(entry(FORMER, 7), 5)
    t.is(current(directory), next)
    t.true(directory.observe(entry(NEXT, 3), 6))
    t.is(current(directory), next)
    t.is(next.weights.get(MODEL), 3)
  })

  it('is the same one when it says the same start', t => {
    const { directory, former } = believe()
    directory.observe(entry(FORMER, 5), 1)
    t.is(current(directory), former)
    t.is(former.weights.get(MODEL), 5)
    t.is(former.outstanding, 7)
    t.true(directory.observeStart(former, FORMER))
  })

  it('serves although the former one was leaving, and the former one never comes back, not even after a removal', t => {
    const { directory } = believe()
    directory.observe(entry(FORMER, 1, ServerState.Draining), 1)
    directory.observe(entry(FORMER, 1), 2)
    t.is(current(directory).listed.state, ServerState.Draining)
    directory.observe(entry(NEXT), 3)
    t.is(current(directory).listed.state, ServerState.Ready)
    directory.remove('e', 4)
    t.false(directory.observe(entry(FORMER), 5))
    t.is(directory.get('e'), undefined)
    directory.observe(entry(NEXT), 6)
    t.is(current(directory).listed.startedAt, NEXT)
  })
})

describe('an entry that cannot be read', () => {
  // Another writer has put something under the key of a live server. It is no word of the server, so nothing is sent there
  // on the strength of it; what is on its way goes on, and the server's next entry brings it back as it was.
  it('keeps new work from its server until the next one that can be', t => {
    const { directory, former } = believe()
    t.true(directory.observeUnreadable('e', 1))
    t.deepEqual(directory.ready('s'), [])
    t.false(directory.observeUnreadable('e', 2))
    t.false(directory.observe(entry(FORMER), 1))
    t.true(directory.observe(entry(FORMER), 3))
    t.deepEqual(directory.ready('s'), [former])
    t.is(former.outstanding, 7)
  })

  it('does not bring a leaving server back, and names none that is not known', t => {
    const { directory } = believe()
    directory.observe(entry(FORMER, 1, ServerState.Draining), 1)
    directory.observeUnreadable('e', 2)
    directory.observe(entry(FORMER), 3)
    t.deepEqual(directory.ready('s'), [])
    t.false(directory.observeUnreadable('other', 4))
    t.is(directory.get('other'), undefined)
  })
})

describe('a server that said in an answer that it leaves', () => {
  const HEARD = FORMER + 4000

  // Guards against older words of the list that take back what the server said itself.
  it('stays leaving through entries, a removal and a return to the list', t => {
    const { directory, changes } = believe()
    t.true(directory.observeLeaving('e', HEARD))
    t.false(directory.observeLeaving('e', HEARD + 1))
    directory.observe(entry(FORMER), 1)
    t.deepEqual(directory.ready('s'), [])
    directory.remove('e', 2)
    directory.observe(entry(FORMER), 3)
    t.deepEqual(directory.ready('s'), [])
    t.deepEqual(changes, ['ready to draining', 'draining to gone', 'none to draining'])
  })

  it('stays leaving where the word came while the list did not name it', t => {
    const { directory } = believe()
    directory.remove('e', 1)
    directory.observeLeaving('e', HEARD)
    directory.observe(entry(FORMER), 2)
    t.deepEqual(directory.ready('s'), [])
  })

  it('serves again once it has started again', t => {
    const { directory } = believe()
    directory.observeLeaving('e', HEARD)
    directory.observe(entry(NEXT), 1)
    t.is(current(directory).listed.state, ServerState.Ready)
  })

  // Guards against a start that is learned late and unsays what came after it.
  it('stays leaving where the word is younger than the start that becomes known', t => {
    for (const learn of [
      (directory: ServerDirectory) => directory.observe(entry(NEXT), 1),
      (directory: ServerDirectory, former: KnownServer) => directory.observeStart(former, NEXT)
    ]) {
      const { directory, former } = believe()
      directory.observeLeaving('e', NEXT + 1)
      learn(directory, former)
      t.is(current(directory).listed.startedAt, NEXT)
      t.deepEqual(directory.ready('s'), [])
    }
  })

  it('names none that is not known', t => {
    t.false(believe().directory.observeLeaving('other', HEARD))
  })
})
