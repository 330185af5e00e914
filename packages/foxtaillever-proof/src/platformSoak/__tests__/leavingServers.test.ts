import type { ExecutionContext } from 'ava'
import { SeededRandom, waitUntil } from 'foxtaillever-core'
import type { BackendServer } from 'foxtaillever-standins'
import { describe, it } from 'foxtaillever-testing'
import { unexpectedExits } from '../cutStreams.js'
import { LeavingServers, oddEntries, waitUntilServed } from '../leavingServers.js'
import { SILENT_SERVICE, SilentServerLoad } from '../silentServers.js'
import { SoakFleet } from '../soakFleet.js'

const entry = new URL('../../../../../platform/dist/main.js', import.meta.url).pathname

const SEED = 77
const PLAY_MS = 13_000
const REQUESTS_PER_S = 90
const ODD_ENTRY_INTERVAL_MS = 900
const DAY_MS = 86_400_000

/** By how much a server's clock is set back between two of its starts, milliseconds. */
const SET_BACK_MS = 60_000

/** Share of requests that are answered with 200 whatever other writers leave in the list. */
const MIN_SERVED = 0.99

interface Scene {
  /** What happens beside the load, until the time. */
  readonly disturb?: (fleet: SoakFleet, servers: LeavingServers, until: number) => Promise<void>
  /** Called some time before a server leaves. */
  readonly prepare?: (fleet: SoakFleet, server: BackendServer) => void
}

let previousScene: Promise<void> = Promise.resolve()

/** One scene at a time, because they share the processors. */
async function check (t: ExecutionContext, scene: Scene): Promise<void> {
  const played = previousScene.then(async () => await play(t, scene))
  previousScene = played.catch(() => {})
  await played
}

async function play (t: ExecutionContext, { disturb = async () => {}, prepare = () => {} }: Scene): Promise<void> {
  const fleet = await SoakFleet.start(entry, { hasLinks: false })
  try {
    const servers = await LeavingServers.create(fleet)
    fleet.operator.configure()
    await fleet.waitUntilConfigured()
    await waitUntilServed(fleet, '/silent/x')
    const until = fleet.clock.now() + PLAY_MS
    const load = SilentServerLoad.create({ fleet, random: SeededRandom.create(SEED), name: 'leaving', newConnections: 0 })
    await Promise.all([load.sendUntil(until, REQUESTS_PER_S), servers.leaveUntil(until - PLAY_MS / 2, server => prepare(fleet, server)), disturb(fleet, servers, until)])
    const served = load.ended.filter(({ reply: { status } }) => status === 200).length
    const late = servers.lateArrivals()
    t.log(`${load.ended.length} requests, ${served} served, ${late.length} late at ${servers.drains.length} servers that leave`)
    t.deepEqual(late.slice(0, 5), [])
    t.deepEqual(unexpectedExits(fleet), [])
    t.true(served >= load.ended.length * MIN_SERVED, `${served} of ${load.ended.length} served`)
  } finally {
    await fleet.close()
  }
}

/** Writes an odd entry now and then, under a key of its own, until the time. */
async function writeOddEntries ({ clock, platform }: SoakFleet, servers: LeavingServers, until: number): Promise<void> {
  const entries = Object.values(oddEntries(SILENT_SERVICE, servers.present[0]?.address ?? ''))
  for (let count = 0; clock.now() < until; count += 1) {
    platform.writeForeign(`odd-${count}`, entries[count % entries.length] ?? Buffer.alloc(0))
    await waitUntil(clock, clock.now() + ODD_ENTRY_INTERVAL_MS)
  }
}

/** Writes one entry in a server's name that says that it starts a day later. */
function writeFutureStart ({ platform }: SoakFleet, { id, address, startedAt }: BackendServer): void {
  platform.writeForeign(id, Buffer.from(JSON.stringify({ service: SILENT_SERVICE, address, zone: 'zone-a', version: 'v1', slots: 8, state: 'ready', seq: 1, cold_left_ms: 0, models: [], born: startedAt + DAY_MS })))
}

describe('servers that leave while instances follow the list', () => {
  it('get no requests after they announced it', async t => await check(t, {}))

  // Guards against an instance that stops following the list at an entry that it cannot read.
  it('get none beside odd entries of another writer', async t => await check(t, { disturb: writeOddEntries }))

  // Guards against an instance that ignores a server's entries because an earlier record names a later start.
  it('get none after another writer dated their start in the future', async t => await check(t, { prepare: writeFutureStart }))

  // Guards against an instance that ignores the entries of a server whose clock was set back before it started again.
  it('get none after they started again with a clock that was set back', async t => await check(t, {
    prepare: (_, server) => {
      server.clockAheadMs -= SET_BACK_MS
      server.crash(true)
    }
  }))
})
