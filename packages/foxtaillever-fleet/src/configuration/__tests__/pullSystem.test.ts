import { createPreset, PresetName, RecordKind, type LogRecord } from 'foxtaillever-core'
import { describe, it, flushPromises, VirtualClock } from 'foxtaillever-testing'
import { Right } from 'purify-ts'
import type { Peers } from '../../membership/peers.js'
import { ChangeKind } from '../change.js'
import { ConfigurationStore } from '../configurationStore.js'
import { PullSystem } from '../pullSystem.js'

function changeRecord (offset: number, base: number): LogRecord {
  const change = { kind: ChangeKind.PutPreset, preset: createPreset(PresetName.Peaks, { queueLimit: offset }) }
  return { offset, id: `id-${offset}`, kind: RecordKind.Configuration, writtenAt: 0, appendedAt: 0, body: { base, author: 'operator', changes: [change] } }
}

const records = [changeRecord(1, 0), changeRecord(2, 1)]

function storeAfter (count: number): ConfigurationStore {
  const store = ConfigurationStore.create()
  records.slice(0, count).forEach(record => store.applyRecord(record))
  return store
}

/** A peer that is one change ahead and counts the requests it gets. */
class AheadPeer implements Peers {
  readonly store = storeAfter(2)
  changesRequests = 0
  configurationRequests = 0

  private constructor (private readonly beforeResponse: () => void) {}

  /** @param beforeResponse runs between a request for changes and its response. */
  static create (beforeResponse: () => void = () => {}): AheadPeer {
    return new AheadPeer(beforeResponse)
  }

  async changes (_address: string, revision: number): ReturnType<NonNullable<Peers['changes']>> {
    this.changesRequests += 1
    this.beforeResponse()
    return Right(this.store.changesSince(revision) as NonNullable<ReturnType<ConfigurationStore['changesSince']>>)
  }

  async configuration (): ReturnType<Peers['configuration']> {
    this.configurationRequests += 1
    return Right(this.store.current())
  }

  async members (): ReturnType<Peers['members']> {
    return Right([])
  }
}

function receiveNewerPosition (store: ConfigurationStore, peer: AheadPeer): void {
  const clock = VirtualClock.create()
  const { configuration: { revision }, offset, digest } = peer.store.current()
  // The log has not answered for long, so there is no grace period.
  PullSystem.create(store, { peers: peer, clock, logAnsweredAt: () => 0 }).receivePosition('peer', { revision, offset, digest })
}

describe('an instance that learns of a newer configuration while the log does not answer', () => {
  it('requests only the changes', async t => {
    const store = storeAfter(1)
    const peer = AheadPeer.create()
    receiveNewerPosition(store, peer)
    await flushPromises()
    t.is(store.configuration().revision, 2)
    t.deepEqual([peer.changesRequests, peer.configurationRequests], [1, 0])
  })

  it('requests the whole configuration when it has none', async t => {
    const store = ConfigurationStore.create()
    const peer = AheadPeer.create()
    receiveNewerPosition(store, peer)
    await flushPromises()
    t.is(store.configuration().revision, 2)
    t.deepEqual([peer.changesRequests, peer.configurationRequests], [0, 1])
  })

  it('does not fetch the whole configuration when the log delivers the change meanwhile', async t => {
    // The log recovers while the peer answers. At the two-year size, each of 380
    // instances would needlessly fetch 624 KB at the same moment.
    const store = storeAfter(1)
    const peer = AheadPeer.create(() => store.applyRecord(records[1] as LogRecord))
    receiveNewerPosition(store, peer)
    await flushPromises()
    t.is(store.configuration().revision, 2)
    t.deepEqual([peer.changesRequests, peer.configurationRequests], [1, 0])
  })
})
