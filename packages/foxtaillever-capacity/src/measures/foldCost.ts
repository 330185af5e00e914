/** Measures what the configuration costs one daemon at the two-year size. */
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { RecordKind, type LogRecord } from 'foxtaillever-core'
import { ConfigurationStore, isIntact, openValue, sealValue, KeyRing, Permission, type FoldedConfiguration } from 'foxtaillever-fleet'
import { createAccountChange, createFullRecord } from './syntheticConfiguration.js'
import { measureMicroseconds } from './timing.js'

export interface FoldCost {
  /** The snapshot record as JSON, bytes. */
  readonly snapshotBytes: number
  /** Log record of one change of an account, bytes. */
  readonly changeBytes: number
  /** Sealed copy for a peer, as text, bytes. */
  readonly copyBytes: number
  readonly heapBytes: number
  readonly changeMicroseconds: number
  /** Starting from a snapshot: parse, check and fold. */
  readonly snapshotMicroseconds: number
  /** Sealing the copy that answers a peer's call. */
  readonly sendCopyMicroseconds: number
  /** Opening a peer's copy and checking its digest. */
  readonly receiveCopyMicroseconds: number
  /** Parsing and skipping one record of another kind. */
  readonly skipRecordMicroseconds: number
}

const SAMPLE_OFFSET = 1000

setFlagsFromString('--expose-gc')
const collectGarbage = runInNewContext('gc') as () => void

function measureHeap (): number {
  collectGarbage()
  return process.memoryUsage().heapUsed
}

function createFullStore (): { readonly store: ConfigurationStore, readonly heapBytes: number } {
  const before = measureHeap()
  const store = ConfigurationStore.create()
  // Serialised and parsed, so that strings occupy the memory that they do after reading the log.
  store.applyRecord(JSON.parse(JSON.stringify(createFullRecord(1))) as LogRecord)
  return { store, heapBytes: measureHeap() - before }
}

function createClaims (offset: number): LogRecord {
  return { offset, id: `claims-${offset}`, kind: RecordKind.Claims, writtenAt: 0, appendedAt: 0, body: { claims: [] } }
}

export function measureFold (): FoldCost {
  const { store, heapBytes } = createFullStore()
  const keys = KeyRing.create([{ id: 'k1', secret: 'a secret for measurements', permissions: [Permission.Join] }])
  const copy = store.current()
  const snapshot = JSON.stringify({ offset: 2, id: 'snapshot', kind: RecordKind.Snapshot, writtenAt: 0, appendedAt: 0, body: copy })
  const { sealed } = sealValue(keys, { nonce: 'n', value: copy })
  const offset = (): number => store.current().offset + 1
  const change = measureMicroseconds(() => store.applyRecord(createAccountChange(offset(), store.configuration().revision)))
  const claims = JSON.stringify(createClaims(1))
  return {
    snapshotBytes: snapshot.length,
    changeBytes: JSON.stringify(createAccountChange(SAMPLE_OFFSET, SAMPLE_OFFSET)).length,
    copyBytes: sealed.length,
    heapBytes,
    changeMicroseconds: change,
    snapshotMicroseconds: measureMicroseconds(() => { ConfigurationStore.create().applyRecord(JSON.parse(snapshot) as LogRecord) }),
    sendCopyMicroseconds: measureMicroseconds(() => { sealValue(keys, { nonce: 'n', value: copy }) }),
    receiveCopyMicroseconds: measureMicroseconds(() => {
      const opened = openValue<{ value: FoldedConfiguration }>(keys, sealed).extract()
      isIntact(opened!.value)
    }),
    skipRecordMicroseconds: measureMicroseconds(() => { store.applyRecord({ ...JSON.parse(claims) as LogRecord, offset: offset() }) })
  }
}
