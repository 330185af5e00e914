import type { ExecutionContext } from 'ava'
import { waitUntil } from 'foxtaillever-core'
import { StoreMode } from 'foxtaillever-standins'
import { describe, it } from 'foxtaillever-testing'
import { addVersion, describeStreams, endServers, joinedStreams, sendStreams, type StreamLoad } from '../rejoinedStreams.js'
import { SoakFleet, type SoakInstance } from '../soakFleet.js'

const entry = new URL('../../../../../platform/dist/main.js', import.meta.url).pathname

const VERSIONS = ['r1', 'r2', 'r3']

/** From one release to the next, and within a release: until the former servers leave, until they are gone, and until all instances are back, milliseconds. */
const RELEASE_MS = 4500
const TOGETHER_MS = 1500
const DOWN_MS = 600

/** An instance stands still for this long while a version joins, milliseconds. */
const STILL_MS = 2500
const CUT_AFTER_MS = 700

interface Scene {
  readonly namesFirst: boolean
  readonly instancesPerZone?: number
  readonly load: Pick<StreamLoad, 'instanceOf' | 'cutAfterMs' | 'intervalMs'>
  readonly playMs: number
  readonly disturb: (fleet: SoakFleet) => Promise<void>
}

let previousScene: Promise<void> = Promise.resolve()

/** One scene at a time, because they share the processors. */
async function check (t: ExecutionContext, scene: Scene): Promise<void> {
  const played = previousScene.then(async () => await play(t, scene))
  previousScene = played.catch(() => {})
  await played
}

async function play (t: ExecutionContext, { namesFirst, instancesPerZone = 1, load, playMs, disturb }: Scene): Promise<void> {
  const fleet = await SoakFleet.start(entry, { hasLinks: false, statesStarts: false, instancesPerZone })
  try {
    const first = fleet.platform.servers.filter(({ options: { name } }) => name.startsWith('engine'))
    await addVersion(fleet, 'v1')
    await waitUntil(fleet.clock, fleet.clock.now() + 1000)
    first.forEach(server => fleet.platform.drain(server))
    await waitUntil(fleet.clock, fleet.clock.now() + 1000)
    endServers(fleet, first)
    const until = fleet.clock.now() + playMs
    const [streams] = await Promise.all([sendStreams(fleet, { ...load, until, namesFirst }), disturb(fleet)])
    t.log(describeStreams(streams))
    t.deepEqual(joinedStreams(streams).slice(0, 5), [])
    t.true(streams.some(({ tries }) => tries > 1), 'callers tried to take streams up')
  } finally {
    await fleet.close()
  }
}

/** Releases in series; all instances are killed when the servers of the former version are just gone. */
async function releaseAndKill (fleet: SoakFleet): Promise<void> {
  const { clock, instances, platform } = fleet
  for (const version of VERSIONS) {
    const releasedAt = clock.now()
    const former = platform.servers.filter(({ options: { name }, isLeaving }) => name.startsWith('engine') && !isLeaving)
    await addVersion(fleet, version)
    await waitUntil(clock, releasedAt + TOGETHER_MS)
    former.forEach(server => { server.isLeaving = true })
    await Promise.all(instances.map(async ({ child }) => await child.kill()))
    endServers(fleet, former)
    await waitUntil(clock, clock.now() + DOWN_MS)
    instances.forEach(({ child }) => child.start())
    await waitUntil(clock, releasedAt + RELEASE_MS)
  }
}

/** The last instance stands still while another version joins, and is then the only one that answers; its store is silent. */
async function joinBeside (fleet: SoakFleet): Promise<void> {
  const { clock, instances } = fleet
  const still = instances.at(-1) as SoakInstance
  const others = instances.filter(instance => instance !== still)
  const joinedAt = clock.now()
  still.child.suspend()
  await addVersion(fleet, 'r1')
  await waitUntil(clock, joinedAt + STILL_MS)
  others.forEach(({ child }) => child.suspend())
  still.storeServer.setMode(StoreMode.Silent)
  still.child.resume()
  await waitUntil(clock, joinedAt + 2 * STILL_MS)
  others.forEach(({ child }) => child.resume())
  still.storeServer.setMode(StoreMode.Up)
}

const taking = { intervalMs: 80, instanceOf: (stream: number, attempt: number) => (stream + attempt) % 3 }

/** Streams begin at the first two instances, and are taken up at the third one. */
const takenUpBeside = { intervalMs: 60, cutAfterMs: CUT_AFTER_MS, instanceOf: (stream: number, attempt: number) => attempt === 0 ? stream % 2 : 2 }

describe('streams that callers take up at instances that do not know who began them', () => {
  // Guards against new processes that take the software versions which serve now for all that served a moment ago.
  for (const namesFirst of [true, false]) {
    it(`are not joined from two software versions after all instances were killed, by callers that ${namesFirst ? 'name the first try' : 'name no earlier try'}`, async t =>
      await check(t, { namesFirst, load: taking, playMs: VERSIONS.length * RELEASE_MS, disturb: releaseAndKill }))
  }

  // Guards against an instance out of step that takes what it does not know for one version.
  it('are not joined at an instance that stood still while a version joined', async t =>
    await check(t, { namesFirst: true, load: takenUpBeside, playMs: 2 * STILL_MS, disturb: joinBeside }))
})
