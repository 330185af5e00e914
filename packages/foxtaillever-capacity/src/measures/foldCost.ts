/**
 * What the configuration costs one daemon at the two-year size.
 */
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { RecordKind, type LogRecord } from 'foxtaillever-core'
import { ConfigurationStore, isIntact, openValue, sealValue, KeyRing, Permission, type FoldedConfiguration } from 'foxtaillever-fleet'
import { createAccountChange, createWholeRecord } from './syntheticConfiguration.js'
import { microsecondsOf } from './timing.js'

export interface FoldCost {
  /** The snapshot record as JSON, bytes. */
  readonly snapshotBytes: number
  /** One change of an account, as it stands in the log, bytes. */
  readonly changeBytes: number
  /** Copy for a peer, sealed and in text, bytes. */
  readonly copyBytes: number
  readonly heapBytes: number
  readonly changeMicroseconds: number
  /** Start from a snapshot: parse, check, fold. */
  readonly snapshotMicroseconds: number
  /** Answer a peer's call for the copy. */
  readonly giveMicroseconds: number
  /** Take a peer's copy and check its digest. */
  readonly takeMicroseconds: number
  /** Read and pass over one record of another kind, parsed from a page. */
  readonly otherRecordMicroseconds: number
}

const HISTORY = 1000

setFlagsFromString('--expose-gc')
const collectGarbage = runInNewContext('gc') as () => void

function heapNow (): number {
  collectGarbage()
  return process.memoryUsage().heapUsed
}

function createFull (): { readonly store: ConfigurationStore, readonly heapBytes: number } {
  const before = heapNow()
  const store = ConfigurationStore.create()
  // Parsed anew, so that strings are counted as a reader of the log holds them.
  store.applyRecord(JSON.parse(JSON.stringify(createWholeRecord(1))) as LogRecord)
  return { store, heapBytes: heapNow() - before }
}

function createClaims (offset: number): LogRecord {
  return { offset, id: `claims-${offset}`, kind: RecordKind.Claims, writtenAt: 0, appendedAt: 0, body: { claims: [] } }
}

export function measureFold (): FoldCost {
  const { store, heapBytes } = createFull()
  const keys = KeyRing.create([{ id: 'k1', secret: 'a secret for measurements', permissions: [Permission.Join] }])
  const copy = store.current()
  const snapshot = JSON.stringify({ offset: 2, id: 'snapshot', kind: RecordKind.Snapshot, writtenAt: 0, appendedAt: 0, body: copy })
  const { sealed } = sealValue(keys, { nonce: 'n', value: copy })
  const offset = (): number => store.current().offset + 1
  const change = microsecondsOf(() => store.applyRecord(createAccountChange(offset(), store.configuration().revision)))
  const claims = JSON.stringify(createClaims(1))
  return {
    snapshotBytes: snapshot.length,
    changeBytes: JSON.stringify(createAccountChange(HISTORY, HISTORY)).length,
    copyBytes: sealed.length,
    heapBytes,
    changeMicroseconds: change,
    snapshotMicroseconds: microsecondsOf(() => { ConfigurationStore.create().applyRecord(JSON.parse(snapshot) as LogRecord) }),
    giveMicroseconds: microsecondsOf(() => { sealValue(keys, { nonce: 'n', value: copy }) }),
    takeMicroseconds: microsecondsOf(() => {
      const taken = openValue<{ value: FoldedConfiguration }>(keys, sealed).extract()
      isIntact(taken!.value)
    }),
    otherRecordMicroseconds: microsecondsOf(() => { store.applyRecord({ ...JSON.parse(claims) as LogRecord, offset: offset() }) })
  }
}
