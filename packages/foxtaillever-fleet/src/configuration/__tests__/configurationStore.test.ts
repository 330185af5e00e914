import fc from 'fast-check'
import { createPreset, emptyConfiguration, PresetName, RecordKind, type LogRecord } from 'foxtaillever-core'
import { describe, it } from 'foxtaillever-testing'
import { ChangeKind, type Change } from '../change.js'
import { ConfigurationStore, OfferOutcome } from '../configurationStore.js'
import { canonicalJson, digestOf } from '../digest.js'

function putPreset (queueLimit: number): Change {
  return { kind: ChangeKind.PutPreset, preset: createPreset(PresetName.Peaks, { queueLimit }) }
}

function changeRecord (offset: number, base: number, changes: readonly Change[] = [putPreset(offset)], author = `operator-${offset}`): LogRecord {
  return { offset, id: `id-${offset}`, kind: RecordKind.Configuration, writtenAt: 0, appendedAt: 0, body: { base, author, changes } }
}

function otherRecord (offset: number): LogRecord {
  return { offset, id: `other-${offset}`, kind: RecordKind.Claims, writtenAt: 0, appendedAt: 0, body: {} }
}

function snapshotRecord (offset: number, store: ConfigurationStore): LogRecord {
  return { offset, id: `snapshot-${offset}`, kind: RecordKind.Snapshot, writtenAt: 0, appendedAt: 0, body: store.current() }
}

function storeAfter (records: readonly LogRecord[]): ConfigurationStore {
  const store = ConfigurationStore.create()
  records.forEach(record => store.applyRecord(record))
  return store
}

/** Random logs: each record builds on one of the latest revisions that its author may have seen. */
const logs = fc.array(fc.record({ lag: fc.nat(3), queueLimit: fc.nat(50), other: fc.boolean() }), { minLength: 1, maxLength: 30 }).map(steps => {
  const records: LogRecord[] = []
  const bases = [0]
  const store = ConfigurationStore.create()
  steps.forEach(({ lag, queueLimit, other }, index) => {
    const offset = index + 1
    const base = bases.at(-1 - lag) ?? 0
    const record = other ? otherRecord(offset) : changeRecord(offset, base, [putPreset(queueLimit)])
    records.push(record)
    store.applyRecord(record)
    bases.push(store.configuration().revision)
  })
  return records
})

describe('ConfigurationStore', () => {
  describe('fold', () => {
    it('accepts the first of two changes of the same revision and refuses the second', t => {
      const store = storeAfter([changeRecord(1, 0), changeRecord(2, 0)])
      t.is(store.configuration().revision, 1)
      t.is(store.current().offset, 2)
      t.is(store.current().history.at(-1)?.author, 'operator-1')
    })

    it('refuses a record with an unknown preset or kind of change', t => {
      const unknown = { kind: 'put-nothing', name: 'x' } as unknown as Change
      const badPreset = { kind: ChangeKind.SwitchPreset, name: 'holidays' } as unknown as Change
      const store = storeAfter([changeRecord(1, 0, [unknown]), changeRecord(2, 0, [badPreset]), changeRecord(3, 0, null as unknown as Change[])])
      t.is(store.configuration().presetInForce, PresetName.OrdinaryDays)
      t.is(store.configuration().revision, 0)
      t.is(store.current().offset, 3)
    })

    it('calls listeners for changes only', t => {
      const revisions: number[] = []
      const store = ConfigurationStore.create()
      store.onChange(({ configuration }) => revisions.push(configuration.revision))
      const records = [changeRecord(1, 0), otherRecord(2), changeRecord(3, 0), changeRecord(4, 1)]
      records.forEach(record => store.applyRecord(record))
      t.deepEqual(revisions, [1, 4])
    })
  })

  describe('copies and changes of peers', () => {
    it('never reverts, whatever records and copies arrive in whatever order', t => {
      // A peer that was paused offers an old copy, or a reader starts over. If the
      // store adopted such a state, an earlier preset would come back into force.
      fc.assert(fc.property(logs, fc.array(fc.nat(29), { maxLength: 60 }), (records, picks) => {
        const copies = records.map((_, index) => storeAfter(records.slice(0, index + 1)).current())
        const store = ConfigurationStore.create()
        let highest = 0
        for (const pick of picks) {
          const index = pick % records.length
          if (pick % 2 === 0) {
            store.offerCopy(copies[index]!)
          } else {
            records.slice(0, index + 1).forEach(record => store.applyRecord(record))
          }
          highest = Math.max(highest, index + 1)
          t.is(store.current().offset, highest)
          t.is(store.current().digest, copies[highest - 1]!.digest)
        }
        t.is(store.divergenceCount(), 0)
      }), { seed: 11, numRuns: 200 })
    })

    it('refuses a copy whose digest does not match its contents', t => {
      const copy = storeAfter([changeRecord(1, 0), changeRecord(2, 1)]).current()
      const store = storeAfter([changeRecord(1, 0)])
      const forged = { ...copy, configuration: { ...copy.configuration, presetInForce: PresetName.Maintenance } }
      t.is(store.offerCopy(forged), OfferOutcome.Damaged)
      t.is(store.configuration().revision, 1)
    })

    it('catches up with the changes of a peer, and only from its own revision', t => {
      const records = [changeRecord(1, 0), changeRecord(2, 1), otherRecord(3), changeRecord(4, 2), changeRecord(5, 2), changeRecord(6, 4)]
      const peer = storeAfter(records)
      const behind = storeAfter(records.slice(0, 2))
      const changes = peer.changesSince(2)!
      t.deepEqual(changes.records.map(({ offset }) => offset), [4, 6])
      t.is(behind.offerChanges(changes), OfferOutcome.Adopted)
      t.is(behind.current().digest, peer.current().digest)
      t.is(behind.current().offset, 6)
      t.is(behind.offerChanges(changes), OfferOutcome.Older)
      const forged = { ...changes, records: [changeRecord(4, 2, [putPreset(99)])] }
      const unchanged = storeAfter(records.slice(0, 2))
      t.is(unchanged.offerChanges(forged), OfferOutcome.Damaged)
      t.is(unchanged.configuration().revision, 2)
      t.is(peer.changesSince(3), undefined)
    })

    it('refuses and counts a copy that contradicts its own configuration', t => {
      const store = storeAfter([changeRecord(1, 0, [putPreset(5)])])
      const divergent = storeAfter([changeRecord(1, 0, [putPreset(6)]), otherRecord(2)]).current()
      t.is(store.offerCopy(divergent), OfferOutcome.Divergent)
      t.is(store.divergenceCount(), 1)
    })
  })

  describe('a log whose first retained offset is above 1', () => {
    it('folds nothing across the gap until a snapshot covers it', t => {
      // An instance was suspended for longer than the retention. If it folded the
      // later records on top of its old configuration, it would accept changes that
      // all other instances refused.
      const complete = storeAfter([changeRecord(1, 0), changeRecord(2, 1)])
      const store = storeAfter([changeRecord(1, 0), changeRecord(4, 1)])
      t.true(store.hasGap())
      t.is(store.configuration().revision, 1)
      ;[otherRecord(3), changeRecord(4, 1), changeRecord(5, 2)].forEach(record => complete.applyRecord(record))
      store.applyRecord(changeRecord(5, 2))
      store.applyRecord(snapshotRecord(6, complete))
      t.false(store.hasGap())
      t.is(store.current().digest, complete.current().digest)
      t.is(store.current().offset, 6)
    })

    it('waits when a snapshot does not reach the first retained record', t => {
      const old = storeAfter([changeRecord(1, 0)])
      const store = storeAfter([otherRecord(5), snapshotRecord(6, old)])
      t.false(store.hasConfiguration())
      t.true(store.hasGap())
    })

    it('folds the records between the offset of a snapshot and the snapshot record', t => {
      const writer = storeAfter([changeRecord(1, 0), otherRecord(2)])
      const early = snapshotRecord(4, writer)
      const store = storeAfter([changeRecord(3, 1), early, changeRecord(5, 3)])
      t.is(store.configuration().revision, 5)
      t.is(store.current().offset, 5)
    })

    it('closes the gap with the copy of a peer', t => {
      const peer = storeAfter([changeRecord(1, 0), changeRecord(2, 1), otherRecord(3), changeRecord(4, 2)])
      const store = storeAfter([changeRecord(1, 0), changeRecord(4, 2), changeRecord(5, 4)])
      t.is(store.offerCopy(peer.current()), OfferOutcome.Adopted)
      t.is(store.configuration().revision, 5)
      t.false(store.hasGap())
    })

    it('detects a gap when all records of the log have expired', t => {
      // After a period without records longer than the retention, no record is left
      // to show that earlier ones were missed. The log's first offset still shows it.
      const store = storeAfter([changeRecord(1, 0)])
      store.noteFirstRetainedOffset(5)
      t.true(store.hasGap())
      store.applyRecord(changeRecord(5, 1))
      t.is(store.configuration().revision, 1)
      const peer = storeAfter([changeRecord(1, 0), changeRecord(2, 1), otherRecord(3), otherRecord(4)])
      t.is(store.offerCopy(peer.current()), OfferOutcome.Adopted)
      t.is(store.configuration().revision, 2)
      t.is(store.current().offset, 5)
    })

    it('ends with the same digest from any first offset, given one usable snapshot', t => {
      fc.assert(fc.property(logs, fc.nat(29), fc.nat(29), (records, cutPick, snapshotPick) => {
        const at = snapshotPick % records.length
        const writer = storeAfter(records.slice(0, at + 1))
        const moved = records.map(record => record.offset)
        const log = [...records, snapshotRecord(moved.length + 1, writer)]
        const first = 1 + cutPick % (at + 2)
        const reader = storeAfter(log.slice(first - 1))
        t.is(reader.current().digest, storeAfter(log).current().digest)
        t.is(reader.current().offset, log.length)
      }), { seed: 12, numRuns: 200 })
    })
  })

  describe('digest', () => {
    it('does not depend on the order of keys', t => {
      const value = { b: 1, a: { d: [1, { y: 1, x: 2 }], c: null } }
      const reordered = { a: { c: null, d: [1, { x: 2, y: 1 }] }, b: 1, absent: undefined }
      t.is(canonicalJson(value), canonicalJson(reordered))
    })

    it('stays the same through JSON and differs after any change', t => {
      const copy = JSON.parse(JSON.stringify(emptyConfiguration))
      t.is(digestOf(copy), digestOf(emptyConfiguration))
      t.not(digestOf({ ...copy, presetInForce: PresetName.Peaks }), digestOf(emptyConfiguration))
    })
  })
})
