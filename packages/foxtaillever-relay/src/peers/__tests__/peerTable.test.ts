/**
 * A machine's time of day steps back and its process restarts, so the new
 * process names an earlier start than the one before. Instances that take its
 * beats for late datagrams count it as gone for minutes: it takes no part in
 * what they share, and its load on servers is not seen.
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
  revision: -1,
  positions: { operators: 0, servers: 0 },
  lease: undefined,
  uses: [],
  sums: [],
  suspects: [],
  savedLevels: [],
  named: [],
  current: [],
  stores: [],
  speeds: [],
  limits: [],
  instances: 1
}

describe('PeerTable', () => {
  it('takes a late datagram of an earlier process for what it is', t => {
    const table = PeerTable.create()
    t.true(table.hear(message, 20_000))
    t.false(table.hear({ ...message, startedAt: 5000, isLeaving: true }, 20_500))
    t.deepEqual(table.alive(20_500).map(({ startedAt }) => startedAt), [10_000])
  })

  it('hears a process again whose machine\'s time of day stepped back before its start', t => {
    const table = PeerTable.create()
    table.hear(message, 20_000)
    const restarted = { ...message, startedAt: 6000 }
    table.hear(restarted, 20_900)
    table.hear(restarted, 21_800)
    t.deepEqual(table.alive(21_800).map(({ startedAt }) => startedAt), [6000])
  })

  it('reckons with an instance that cannot be heard, and forgets it in time', t => {
    const table = PeerTable.create()
    table.name(message.address, 20_000)
    t.is(table.count(25_000), 2)
    t.is(table.count(51_000), 1)
  })

  it('does not take an instance of a large fleet for gone because its beats go to others', t => {
    const table = PeerTable.create()
    for (let port = 1; port <= 80; port += 1) {
      table.hear({ ...message, address: `127.0.0.1:${port}` }, 20_000)
    }
    t.is(table.likely(25_000, 24).length, 80)
    t.is(table.likely(40_000, 24).length, 0)
  })

  // An instance starts while the store is dark and knows two addresses. Taking
  // its part of what all may send together for a third, it would send too much.
  it('counts as many instances as others know of', t => {
    const table = PeerTable.create()
    table.hear({ ...message, instances: 9 }, 20_000)
    t.is(table.count(20_100), 9)
    t.is(table.known(20_100), 2)
  })
})
