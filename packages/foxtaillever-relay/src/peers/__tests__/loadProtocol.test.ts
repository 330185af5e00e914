import { hashNumber, SeededRandom } from 'foxtaillever-core'
import { watchersOf } from 'foxtaillever-policy/relay/computedWatchers'
import { describe, it } from 'foxtaillever-testing'
import { LoadProtocolFleet, type LoadPeer } from '../__fixtures__/loadProtocolFleet.js'

const SERVER = 'i-5ad53fabda'
const BUDGET_BYTES = 14_000

/** Bytes of heartbeats of a large fleet a second: 16 of 230 bytes sent, and as many received. */
const HEARTBEAT_BYTES = 2 * 16 * 230

/** The first and second watcher of the server, and two instances that do not watch it. */
function pickPeers (fleet: LoadProtocolFleet): readonly [LoadPeer, LoadPeer, LoadPeer, LoadPeer] {
  const watchers = watchersOf(hashNumber(SERVER), fleet.peers.map(({ address }) => ({ address, hash: hashNumber(address) })))
  const [first, second] = watchers.map(({ address }) => fleet.peers.find(peer => peer.address === address)) as [LoadPeer, LoadPeer]
  const [one, other] = fleet.peers.filter(peer => peer !== first && peer !== second) as [LoadPeer, LoadPeer]
  return [first, second, one, other]
}

/** Requests with a prompt that an instance receives a second. */
const REQUESTS = 6
const SECONDS = 1

/** Range of the hashes of levels. */
const LEVELS = 2 ** 32

/** Runs one request at each instance: it queries two servers and a level, starts, is read, which is a sample of the server's speed, and ends; one in four has the level saved. */
async function runRequests (fleet: LoadProtocolFleet, random: SeededRandom, servers: number): Promise<void> {
  const queried = fleet.peers.map(async peer => {
    const [chosen = '', other = ''] = [0, 1].map(() => `i-${random.below(servers)}`)
    const level = { level: random.below(LEVELS), home: hashNumber(chosen) }
    await peer.protocol.query({ servers: [chosen, other].map(server => hashNumber(server)), level })
    fleet.setLoad(peer, chosen, 1)
    if (random.below(4) === 0) {
      peer.protocol.reportSaved(level)
    }
  })
  await fleet.advance(500 / REQUESTS)
  await Promise.all(queried)
  fleet.peers.forEach(peer => fleet.change(peer, ownLoads => ownLoads.forEach(load => {
    peer.protocol.addSpeedSample({ server: load.server, tokens: load.tokens, ms: 90 + random.below(500) })
    ownLoads.set(load.server, { ...load, tokens: 0 })
  })))
  await fleet.advance(500 / REQUESTS)
  fleet.peers.forEach(peer => fleet.change(peer, ownLoads => ownLoads.clear()))
}

describe('load in a large fleet', () => {
  // Guards against eighty instances sending to a home server that each believes idle, so that their callers wait in one queue.
  it('is known to a querying instance as soon as another has put it there, without the load of the querying instance', async t => {
    const fleet = await LoadProtocolFleet.start(80)
    const [, , one, other] = pickPeers(fleet)
    fleet.setLoad(one, SERVER, 5)
    fleet.setLoad(other, SERVER, 2)
    await fleet.advance(30)
    t.is(await fleet.query(other, SERVER), 5)
    fleet.setLoad(one, SERVER, 0)
    await fleet.advance(30)
    t.is(await fleet.query(other, SERVER), 0)
    fleet.stop()
  })

  // The watcher of an engine dies. Queries must not wait for it for long, and the next watcher must not report the engine as idle.
  it('survives the loss of the first watcher', async t => {
    const fleet = await LoadProtocolFleet.start(80)
    const [first, , one, other] = pickPeers(fleet)
    fleet.setLoad(one, SERVER, 5)
    await fleet.advance(30)
    first.isCut = true
    for (let lost = 0; lost < 2; lost += 1) {
      const queriedAt = fleet.clock.now()
      await fleet.query(other, SERVER)
      t.true(fleet.clock.now() <= queriedAt + 20)
    }
    await fleet.advance(1000)
    t.is(await fleet.query(other, SERVER), 5)
    fleet.stop()
  })

  // The second watcher decides on admission while the first is dead; with a load of the last heartbeat it would send too much.
  it('is reported to the second watcher at once by instances that get no answer from the first', async t => {
    const fleet = await LoadProtocolFleet.start(80)
    const [first, , one, other] = pickPeers(fleet)
    first.isCut = true
    for (const peer of [one, one, other, other]) {
      await fleet.query(peer, SERVER)
    }
    fleet.setLoad(one, SERVER, 5)
    await fleet.advance(30)
    fleet.setLoad(one, SERVER, 6)
    await fleet.advance(30)
    t.is(await fleet.query(other, SERVER), 6)
    fleet.stop()
  })

  // A watcher was suspended and resumes. The reports sent meanwhile are lost, and a busy engine looks idle to it.
  it('is not answered by a watcher that was suspended until it has received all reports again', async t => {
    const fleet = await LoadProtocolFleet.start(80)
    const [first, , one, other] = pickPeers(fleet)
    fleet.suspend(first)
    await fleet.advance(2000)
    fleet.setLoad(one, SERVER, 5)
    await fleet.advance(30)
    fleet.resume(first)
    await fleet.query(other, SERVER)
    await fleet.query(other, SERVER)
    t.is(await fleet.query(other, SERVER), 5)
    await fleet.advance(3100)
    t.is(await fleet.query(other, SERVER), 5)
    fleet.stop()
  })

  // A resumed process may read its sockets before its timers run.
  it('is not answered by a watcher that was suspended before its next heartbeat', async t => {
    const fleet = await LoadProtocolFleet.start(80)
    const [first, , one, other] = pickPeers(fleet)
    fleet.suspend(first)
    await fleet.advance(2000)
    fleet.setLoad(one, SERVER, 5)
    await fleet.advance(1030)
    first.isCut = false
    await fleet.query(other, SERVER)
    await fleet.query(other, SERVER)
    t.is(await fleet.query(other, SERVER), 5)
    fleet.stop()
  })

  // A killed process does not report that its requests are gone; engines would look busy forever.
  it('drops the load of an instance that is gone', async t => {
    const fleet = await LoadProtocolFleet.start(80)
    const [, , one, other] = pickPeers(fleet)
    fleet.setLoad(one, SERVER, 5)
    await fleet.advance(30)
    one.isCut = true
    await fleet.advance(2600)
    t.is(await fleet.query(other, SERVER), 0)
    fleet.stop()
  })

  // Guards against an overloaded server having to ask each instance of a large fleet to back off.
  it('warns instances that are about to send to a server that asked another to back off, for half a second only', async t => {
    const fleet = await LoadProtocolFleet.start(80)
    const [, , one, other] = pickPeers(fleet)
    one.protocol.reportBackingOff(hashNumber(SERVER))
    await fleet.advance(10)
    await fleet.query(other, SERVER)
    t.deepEqual([...other.backingOff], [hashNumber(SERVER)])
    other.backingOff.clear()
    await fleet.advance(500)
    await fleet.query(other, SERVER)
    t.is(other.backingOff.size, 0)
    fleet.stop()
  })

  // An engine accepts no connection, and a caller whose request is sent there waits for the timeout. Without reports,
  // each of eighty instances would find out with a request of its own.
  it('warns instances that are about to send to a server that others could not reach, for a second only', async t => {
    const fleet = await LoadProtocolFleet.start(80)
    const [, , one, other] = pickPeers(fleet)
    const [third] = fleet.peers.filter(peer => peer !== one && peer !== other) as [LoadPeer]
    one.protocol.reportUnreachable(hashNumber(SERVER))
    await fleet.advance(10)
    await fleet.query(other, SERVER)
    t.is(other.unreachable.size, 0, 'a single instance may be cut off itself')
    third.protocol.reportUnreachable(hashNumber(SERVER))
    await fleet.advance(10)
    await fleet.query(other, SERVER)
    t.deepEqual([...other.unreachable], [hashNumber(SERVER)])
    other.unreachable.clear()
    await fleet.advance(1000)
    await fleet.query(other, SERVER)
    t.is(other.unreachable.size, 0)
    fleet.stop()
  })

  // An instance that does not know of a save has the level saved again. With eighty instances, half of the large prompts
  // went to the store in copies, which filled its link and evicted what it held.
  it('reports to instances that query a home server that a level there was saved, at once and for a while', async t => {
    const fleet = await LoadProtocolFleet.start(80)
    const [, , one, other] = pickPeers(fleet)
    const level = { level: 7, home: hashNumber(SERVER) }
    await fleet.query(other, SERVER, level)
    t.is(other.saved.size, 0)
    one.protocol.reportSaved(level)
    await fleet.advance(10)
    await fleet.query(other, SERVER, level)
    t.deepEqual([...other.saved], [7])
    other.saved.clear()
    fleet.peers.forEach(({ protocol }) => protocol.forgetSaved())
    await fleet.query(other, SERVER, level)
    t.is(other.saved.size, 0, 'a restarted store is empty')
    one.protocol.reportSaved(level)
    await fleet.advance(60_000)
    await fleet.query(other, SERVER, level)
    t.is(other.saved.size, 0)
    fleet.stop()
  })

  // Guards against datagrams with every request for servers that are never queried.
  it('is reported with heartbeats only if it is not queried', async t => {
    const fleet = await LoadProtocolFleet.start(80)
    const [first, , one] = pickPeers(fleet)
    fleet.unqueried.add(hashNumber(SERVER))
    const before = one.bytes
    fleet.setLoad(one, SERVER, 5)
    await fleet.advance(30)
    t.is(one.bytes, before)
    await fleet.advance(1000)
    t.is(first.protocol.sums([hashNumber(SERVER)])[0]?.outstanding, 5)
    fleet.stop()
  })

  for (const size of [81, 380]) {
    // Links of 7 Mbit/s carry answers; control traffic that grew with the fleet would crowd them out.
    it(`stays within the control traffic budget of each of ${size} instances, heartbeats included`, async t => {
      const fleet = await LoadProtocolFleet.start(size)
      const random = SeededRandom.create(1)
      for (let request = 0; request < REQUESTS * SECONDS; request += 1) {
        await runRequests(fleet, random, size)
      }
      const mean = fleet.peers.reduce((sum, { bytes }) => sum + bytes, 0) / size / SECONDS
      t.log(`${Math.round(mean + HEARTBEAT_BYTES)} bytes a second`)
      t.true(mean + HEARTBEAT_BYTES < BUDGET_BYTES)
      fleet.stop()
    })
  }
})
