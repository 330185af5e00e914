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
  records.forEach(record => store.take(record))
  return store
}

/** Random writers: each record builds on one of the last revisions that its author may have seen. */
const logs = fc.array(fc.record({ lag: fc.nat(3), queueLimit: fc.nat(50), other: fc.boolean() }), { minLength: 1, maxLength: 30 }).map(steps => {
  const records: LogRecord[] = []
  const bases = [0]
  const store = ConfigurationStore.create()
  steps.forEach(({ lag, queueLimit, other }, index) => {
    const offset = index + 1
    const base = bases.at(-1 - lag) ?? 0
    const record = other ? otherRecord(offset) : changeRecord(offset, base, [putPreset(queueLimit)])
    records.push(record)
    store.take(record)
    bases.push(store.configuration().revision)
  })
  return records
})

describe('ConfigurationStore', () => {
  describe('fold', () => {
    it('accepts the first of two changes on one revision and refuses the other', t => {
      const store = storeAfter([changeRecord(1, 0), changeRecord(2, 0)])
      t.is(store.configuration().revision, 1)
      t.is(store.current().offset, 2)
      t.is(store.current().history.at(-1)?.author, 'operator-1')
    })

    it('refuses a record that names no known preset or kind', t => {
      const unknown = { kind: 'put-nothing', name: 'x' } as unknown as Change
      const badPreset = { kind: ChangeKind.SwitchPreset, name: 'holidays' } as unknown as Change
      const store = storeAfter([changeRecord(1, 0, [unknown]), changeRecord(2, 0, [badPreset]), changeRecord(3, 0, null as unknown as Change[])])
      t.is(store.configuration().presetInForce, PresetName.OrdinaryDays)
      t.is(store.configuration().revision, 0)
      t.is(store.current().offset, 3)
    })

    it('tells listeners of changes and of nothing else', t => {
      const revisions: number[] = []
      const store = ConfigurationStore.create()
      store.onChange(({ configuration }) => revisions.push(configuration.revision))
      const records = [changeRecord(1, 0), otherRecord(2), changeRecord(3, 0), changeRecord(4, 1)]
      records.forEach(record => store.take(record))
      t.deepEqual(revisions, [1, 4])
    })
  })

  describe('offers of old copies', () => {
    it('never moves back, whatever is replayed or offered in whatever order', t => {
      // A peer that was paused, or a reader that starts over, hands on what was
      // folded long ago. Taken, it would bring an earlier preset back into force.
      fc.assert(fc.property(logs, fc.array(fc.nat(29), { maxLength: 60 }), (records, picks) => {
        const copies = records.map((_, index) => storeAfter(records.slice(0, index + 1)).current())
        const store = ConfigurationStore.create()
        let highest = 0
        for (const pick of picks) {
          const index = pick % records.length
          if (pick % 2 === 0) {
            store.offer(copies[index]!)
          } else {
            records.slice(0, index + 1).forEach(record => store.take(record))
          }
          highest = Math.max(highest, index + 1)
          t.is(store.current().offset, highest)
          t.is(store.current().digest, copies[highest - 1]!.digest)
        }
        t.is(store.divergenceCount(), 0)
      }), { seed: 11, numRuns: 200 })
    })

    it('refuses a copy whose digest is not that of its contents', t => {
      const copy = storeAfter([changeRecord(1, 0), changeRecord(2, 1)]).current()
      const store = storeAfter([changeRecord(1, 0)])
      const forged = { ...copy, configuration: { ...copy.configuration, presetInForce: PresetName.Maintenance } }
      t.is(store.offer(forged), OfferOutcome.Damaged)
      t.is(store.configuration().revision, 1)
    })

    it('catches up by the changes of a peer, and only from where it stands', t => {
      const records = [changeRecord(1, 0), changeRecord(2, 1), otherRecord(3), changeRecord(4, 2), changeRecord(5, 2), changeRecord(6, 4)]
      const peer = storeAfter(records)
      const behind = storeAfter(records.slice(0, 2))
      const changes = peer.changesSince(2)!
      t.deepEqual(changes.records.map(({ offset }) => offset), [4, 6])
      t.is(behind.offerChanges(changes), OfferOutcome.Taken)
      t.is(behind.current().digest, peer.current().digest)
      t.is(behind.current().offset, 6)
      t.is(behind.offerChanges(changes), OfferOutcome.Older)
      const forged = { ...changes, records: [changeRecord(4, 2, [putPreset(99)])] }
      const other = storeAfter(records.slice(0, 2))
      t.is(other.offerChanges(forged), OfferOutcome.Damaged)
      t.is(other.configuration().revision, 2)
      t.is(peer.changesSince(3), undefined)
    })

    it('refuses and counts a copy that contradicts its own fold', t => {
      const store = storeAfter([changeRecord(1, 0, [putPreset(5)])])
      const other = storeAfter([changeRecord(1, 0, [putPreset(6)]), otherRecord(2)]).current()
      t.is(store.offer(other), OfferOutcome.Divergent)
      t.is(store.divergenceCount(), 1)
    })
  })

  describe('a log whose first kept offset is above 1', () => {
    it('folds nothing across the gap until a snapshot covers it', t => {
      // An instance was paused for longer than records are kept. What it would
      // fold on top of its old configuration was refused by all others.
      const whole = storeAfter([changeRecord(1, 0), changeRecord(2, 1)])
      const store = storeAfter([changeRecord(1, 0), changeRecord(4, 1)])
      t.true(store.hasGap())
      t.is(store.configuration().revision, 1)
      ;[otherRecord(3), changeRecord(4, 1), changeRecord(5, 2)].forEach(record => whole.take(record))
      store.take(changeRecord(5, 2))
      store.take(snapshotRecord(6, whole))
      t.false(store.hasGap())
      t.is(store.current().digest, whole.current().digest)
      t.is(store.current().offset, 6)
    })

    it('waits when the snapshot itself does not reach the first kept record', t => {
      const old = storeAfter([changeRecord(1, 0)])
      const store = storeAfter([otherRecord(5), snapshotRecord(6, old)])
      t.false(store.isKnown())
      t.true(store.hasGap())
    })

    it('folds on a snapshot what stands between it and its own record', t => {
      const writer = storeAfter([changeRecord(1, 0), otherRecord(2)])
      const early = snapshotRecord(4, writer)
      const store = storeAfter([changeRecord(3, 1), early, changeRecord(5, 3)])
      t.is(store.configuration().revision, 5)
      t.is(store.current().offset, 5)
    })

    it('closes the gap with the copy of a peer', t => {
      const peer = storeAfter([changeRecord(1, 0), changeRecord(2, 1), otherRecord(3), changeRecord(4, 2)])
      const store = storeAfter([changeRecord(1, 0), changeRecord(4, 2), changeRecord(5, 4)])
      t.is(store.offer(peer.current()), OfferOutcome.Taken)
      t.is(store.configuration().revision, 5)
      t.false(store.hasGap())
    })

    it('knows of a gap though the log has expired to nothing', t => {
      // After a quiet time longer than the retention no record is left to show
      // that others were missed; the log's first offset still does.
      const store = storeAfter([changeRecord(1, 0)])
      store.noteFirstKept(5)
      t.true(store.hasGap())
      store.take(changeRecord(5, 1))
      t.is(store.configuration().revision, 1)
      const peer = storeAfter([changeRecord(1, 0), changeRecord(2, 1), otherRecord(3), otherRecord(4)])
      t.is(store.offer(peer.current()), OfferOutcome.Taken)
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
      const one = { b: 1, a: { d: [1, { y: 1, x: 2 }], c: null } }
      const other = { a: { c: null, d: [1, { x: 2, y: 1 }] }, b: 1, absent: undefined }
      t.is(canonicalJson(one), canonicalJson(other))
    })

    it('is the same for a configuration that went through JSON, and another for any change', t => {
      const copy = JSON.parse(JSON.stringify(emptyConfiguration))
      t.is(digestOf(copy), digestOf(emptyConfiguration))
      t.not(digestOf({ ...copy, presetInForce: PresetName.Peaks }), digestOf(emptyConfiguration))
    })
  })
})
