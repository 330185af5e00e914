/**
 * The store and several instances tell the same records in any order. If an
 * older word could replace a newer one, a server that has left would get
 * requests again, and a key that was taken away would open the door again.
 */
import { describe, it } from 'foxtaillever-testing'
import type { KeyedRecord } from '../keyedLog.js'
import { RecordTable } from '../recordTable.js'

function record (key: string, offset: number, text?: string): KeyedRecord {
  return { key, offset, value: text === undefined ? undefined : Buffer.from(text) }
}

function createTable (): { table: RecordTable, beliefs: Map<string, string | undefined> } {
  const beliefs = new Map<string, string | undefined>()
  const table = RecordTable.create(({ key, value }) => {
    const isNews = !beliefs.has(key) || beliefs.get(key) !== value?.toString()
    beliefs.set(key, value?.toString())
    return isNews
  })
  return { table, beliefs }
}

describe('RecordTable', () => {
  it('does not go back, whoever tells an older record', t => {
    const { table, beliefs } = createTable()
    table.take(record('key', 5, 'new'))
    table.reach(6)
    table.take(record('key', 3, 'old'))
    table.reach(4)
    t.is(beliefs.get('key'), 'new')
    t.is(table.position, 6)
  })

  it('does not let a heartbeat make a removal from before it count', t => {
    const { table, beliefs } = createTable()
    table.take(record('s', 1, 'ready'))
    table.take(record('s', 7, 'ready'))
    table.take(record('s', 4))
    t.is(beliefs.get('s'), 'ready')
    t.is(table.changed, 2)
  })

  it('takes what a whole reading does not name for removed, but not what came after it', t => {
    const { table, beliefs } = createTable()
    table.take(record('left', 1, 'ready'))
    table.take(record('late', 9, 'ready'))
    table.retain(new Set(), 6)
    t.is(beliefs.get('left'), undefined)
    t.is(beliefs.get('late'), 'ready')
  })

  it('tells one who lags what changed, removals too, and no heartbeats', t => {
    const { table } = createTable()
    table.take(record('a', 1, 'ready'))
    table.take(record('b', 2, 'ready'))
    table.take(record('a', 3, 'ready'))
    table.take(record('b', 4))
    t.deepEqual(table.since(2).map(({ key, offset }) => `${key}${offset}`), ['b4'])
  })
})
