/**
 * A machine's clock steps back and its process restarts, so the new process
 * reports an earlier start than the previous one. Instances that mistake its
 * heartbeats for late datagrams count it as gone for minutes: it is left out of
 * shared limits, and its load on servers is not seen.
 */
import { describe, it } from 'foxtaillever-testing'
import type { PeerMessage } from '../peerMessage.js'
import { PeerTable } from '../peerTable.js'

const message: PeerMessage = {
  name: 'a',
  address: '127.0.0.1:1',
  failureDomain: 'one',
  startedAt: 10_000,
  isLeaving: false,
  hasStore: true,
  links: 0,
  brittle: [],
  revision: -1,
  positions: { operators: 0, servers: 0 },
  lease: undefined,
  loads: [],
  sums: [],
  quarantines: [],
  delayMs: 0,
  savedLevels: [],
  named: [],
  current: [],
  stores: [],
  speeds: [],
  limits: [],
  instances: 1
}

describe('PeerTable', () => {
  it('ignores a late datagram of an earlier process', t => {
    const table = PeerTable.create()
    t.true(table.recordMessage(message, 20_000))
    t.false(table.recordMessage({ ...message, startedAt: 5000, isLeaving: true }, 20_500))
    t.deepEqual(table.alive(20_500).map(({ startedAt }) => startedAt), [10_000])
  })

  it('accepts a restarted process whose machine\'s clock stepped back before its start', t => {
    const table = PeerTable.create()
    table.recordMessage(message, 20_000)
    const restarted = { ...message, startedAt: 6000 }
    table.recordMessage(restarted, 20_900)
    table.recordMessage(restarted, 21_800)
    t.deepEqual(table.alive(21_800).map(({ startedAt }) => startedAt), [6000])
  })

  it('counts an instance that sends nothing, and removes it in time', t => {
    const table = PeerTable.create()
    table.addAddress(message.address, 20_000)
    t.is(table.count(25_000), 2)
    t.is(table.count(51_000), 1)
  })

  it('does not treat an instance of a large fleet as gone because its heartbeats go to others', t => {
    const table = PeerTable.create()
    for (let port = 1; port <= 80; port += 1) {
      table.recordMessage({ ...message, address: `127.0.0.1:${port}` }, 20_000)
    }
    t.is(table.likely(25_000, 24).length, 80)
    t.is(table.likely(40_000, 24).length, 0)
  })

  // An instance starts while the store is unreachable and knows two addresses. If
  // it took a third of the common limit as its share, it would send too much.
  it('counts as many instances as others report', t => {
    const table = PeerTable.create()
    table.recordMessage({ ...message, instances: 9 }, 20_000)
    t.is(table.count(20_100), 9)
    t.is(table.known(20_100), 2)
  })
})
