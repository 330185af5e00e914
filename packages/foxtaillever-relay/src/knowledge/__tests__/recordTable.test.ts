/**
 * The store and several instances send the same records in any order. If an older
 * record could replace a newer one, a server that has left would get requests again,
 * and a revoked API key would be accepted again.
 */
import { describe, it } from 'foxtaillever-testing'
import type { KeyedRecord } from '../keyedLog.js'
import { RecordTable } from '../recordTable.js'

function record (key: string, offset: number, text?: string): KeyedRecord {
  return { key, offset, value: text === undefined ? undefined : Buffer.from(text) }
}

function createTable (): { table: RecordTable, values: Map<string, string | undefined> } {
  const values = new Map<string, string | undefined>()
  const table = RecordTable.create(({ key, value }) => {
    const hasChanged = !values.has(key) || values.get(key) !== value?.toString()
    values.set(key, value?.toString())
    return hasChanged
  })
  return { table, values }
}

describe('RecordTable', () => {
  it('keeps the newer value when an older record arrives', t => {
    const { table, values } = createTable()
    table.applyRecord(record('key', 5, 'new'))
    table.advanceTo(6)
    table.applyRecord(record('key', 3, 'old'))
    table.advanceTo(4)
    t.is(values.get('key'), 'new')
    t.is(table.position, 6)
  })

  it('ignores a removal that is older than the last heartbeat', t => {
    const { table, values } = createTable()
    table.applyRecord(record('s', 1, 'ready'))
    table.applyRecord(record('s', 7, 'ready'))
    table.applyRecord(record('s', 4))
    t.is(values.get('s'), 'ready')
    t.is(table.changed, 2)
  })

  it('removes keys that a complete read does not list, but not those written after it', t => {
    const { table, values } = createTable()
    table.applyRecord(record('left', 1, 'ready'))
    table.applyRecord(record('late', 9, 'ready'))
    table.retain(new Set(), 6)
    t.is(values.get('left'), undefined)
    t.is(values.get('late'), 'ready')
  })

  it('sends an instance that lags the changes, including removals, and no heartbeats', t => {
    const { table } = createTable()
    table.applyRecord(record('a', 1, 'ready'))
    table.applyRecord(record('b', 2, 'ready'))
    table.applyRecord(record('a', 3, 'ready'))
    table.applyRecord(record('b', 4))
    t.deepEqual(table.recordsSince(2).map(({ key, offset }) => `${key}${offset}`), ['b4'])
  })
})
