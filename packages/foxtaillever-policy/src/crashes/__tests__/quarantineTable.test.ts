import { describe, it } from 'foxtaillever-testing'
import { QuarantineTable, QUARANTINE_MS } from '../quarantineTable.js'
import { CauseKind } from '../suspicion.js'

const cause = { kind: CauseKind.Level, id: 'bad', account: 'acme', servers: [1, 2, 3] }

describe('QuarantineTable', () => {
  it('applies to the account, and to all once it is widened', t => {
    const table = QuarantineTable.create()
    const entry = table.add(cause, 0)
    t.truthy(table.findFor(CauseKind.Level, 'bad', 'acme', 1))
    t.is(table.findFor(CauseKind.Level, 'bad', 'other', 1), undefined)
    table.widen(entry, 1)
    t.truthy(table.findFor(CauseKind.Level, 'bad', 'other', 2))
  })

  // Guards against a lifted quarantine that is in force again because another instance announces the older entry.
  it('stays lifted when an older entry arrives', t => {
    const table = QuarantineTable.create()
    const entry = table.add(cause, 0)
    t.truthy(table.lift(CauseKind.Level, 'bad', 1))
    t.is(table.apply(entry, 2), undefined)
    t.is(table.find(CauseKind.Level, 'bad', 3), undefined)
    t.truthy(table.add(cause, 4))
    t.truthy(table.find(CauseKind.Level, 'bad', 5))
  })

  // Guards against a quarantine that ends while its requests still come, and against one that never ends.
  it('lasts as long as requests are refused', t => {
    const table = QuarantineTable.create()
    const entry = table.add(cause, 0)
    t.is(table.renew(entry, 1), undefined)
    const renewed = table.renew(entry, QUARANTINE_MS * 0.75)
    t.truthy(table.find(CauseKind.Level, 'bad', QUARANTINE_MS + 1))
    t.is(table.find(CauseKind.Level, 'bad', (renewed?.expiresAt ?? 0) + 1), undefined)
  })

  // Guards against instances that decide at the same moment, know of different accounts, and disagree for good.
  it('merges decisions of the same revision in any order', t => {
    const [a, b] = [QuarantineTable.create(), QuarantineTable.create()]
    const first = a.add(cause, 0)
    const second = b.add({ ...cause, account: 'other' }, 0)
    a.apply(second, 1)
    b.apply(first, 1)
    t.is(a.find(CauseKind.Level, 'bad', 2)?.account, undefined)
    t.deepEqual(a.find(CauseKind.Level, 'bad', 2)?.account, b.find(CauseKind.Level, 'bad', 2)?.account)
  })
})
