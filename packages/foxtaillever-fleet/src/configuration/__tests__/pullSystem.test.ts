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
  records.slice(0, count).forEach(record => store.take(record))
  return store
}

/** A peer that is one change ahead, and counts what it is asked for. */
class AheadPeer implements Peers {
  readonly store = storeAfter(2)
  changesAsked = 0
  wholeAsked = 0

  private constructor (private readonly whileAsked: () => void) {}

  /** @param whileAsked runs between the question and its answer. */
  static create (whileAsked: () => void = () => {}): AheadPeer {
    return new AheadPeer(whileAsked)
  }

  async changes (_address: string, revision: number): ReturnType<NonNullable<Peers['changes']>> {
    this.changesAsked += 1
    this.whileAsked()
    return Right(this.store.changesSince(revision) as NonNullable<ReturnType<ConfigurationStore['changesSince']>>)
  }

  async configuration (): ReturnType<Peers['configuration']> {
    this.wholeAsked += 1
    return Right(this.store.current())
  }

  async members (): ReturnType<Peers['members']> {
    return Right([])
  }
}

function hearAhead (store: ConfigurationStore, peer: AheadPeer): void {
  const clock = VirtualClock.create()
  const { configuration: { revision }, offset, digest } = peer.store.current()
  // The log has been silent for long, so there is no grace.
  PullSystem.create(store, { peers: peer, clock, logAnsweredAt: () => 0 }).hear('peer', { revision, offset, digest })
}

describe('an instance that hears of a newer configuration while the log is silent', () => {
  it('asks for the changes alone', async t => {
    const store = storeAfter(1)
    const peer = AheadPeer.create()
    hearAhead(store, peer)
    await flushPromises()
    t.is(store.configuration().revision, 2)
    t.deepEqual([peer.changesAsked, peer.wholeAsked], [1, 0])
  })

  it('asks for the whole when it knows nothing', async t => {
    const store = ConfigurationStore.create()
    const peer = AheadPeer.create()
    hearAhead(store, peer)
    await flushPromises()
    t.is(store.configuration().revision, 2)
    t.deepEqual([peer.changesAsked, peer.wholeAsked], [0, 1])
  })

  it('does not fetch the whole when the log delivers the change meanwhile', async t => {
    // The log comes back just while the peer answers. At the two-year size each
    // of 380 instances would fetch 624 KB for nothing, all at the same moment.
    const store = storeAfter(1)
    const peer = AheadPeer.create(() => store.take(records[1] as LogRecord))
    hearAhead(store, peer)
    await flushPromises()
    t.is(store.configuration().revision, 2)
    t.deepEqual([peer.changesAsked, peer.wholeAsked], [1, 0])
  })
})
