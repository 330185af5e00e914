import type { ExecutionContext } from 'ava'
import { SeededRandom, waitUntil } from 'foxtaillever-core'
import { StallStage, type BackendServer } from 'foxtaillever-standins'
import { describe, it } from 'foxtaillever-testing'
import { findCuts, type TimedRequest } from '../cutStreams.js'
import { Disturbances } from '../disturbances.js'
import { sendOnNewConnections } from '../newConnections.js'
import { configureUntil, holdUntil } from '../silences.js'
import { addSilentServer, drawStalls, SilentServerLoad } from '../silentServers.js'
import { SoakFleet, type SoakInstance } from '../soakFleet.js'

const entry = new URL('../../../../../platform/dist/main.js', import.meta.url).pathname

const SEED = 74
const PLAY_MS = 5000

/** The silent server does not answer one in so many requests for this long, milliseconds. */
const STALL_INTERVAL = 4
const SILENCE_MS = 1300
const CONFIGURATION_INTERVAL_MS = 700
const REQUESTS_PER_S = 150

/** New connections to three instances, one of which stands still most of the time. */
const CONNECTIONS_PER_S = 300

/** From SIGTERM to the standstill of an instance, just before it stops listening, milliseconds; how long it stands still, and when and how many connections arrive meanwhile. */
const STOPPED_AFTER_MS = 2300
const STOPPED_MS = 600
const BURST_AFTER_MS = 2350
const BURST_MS = 100
const BURST_PER_S = 400

interface Scene {
  readonly send: (fleet: SoakFleet, until: number) => Promise<readonly TimedRequest[]>
  readonly prepare: (server: BackendServer) => void
  /** What happens beside the load, until the time. */
  readonly disturb: (fleet: SoakFleet, until: number) => Promise<void>
}

let previousScene: Promise<void> = Promise.resolve()

/** One scene at a time, because they share the processors. */
async function check (t: ExecutionContext, scene: Scene): Promise<void> {
  const played = previousScene.then(async () => await play(t, scene))
  previousScene = played.catch(() => {})
  await played
}

async function play (t: ExecutionContext, { send, prepare, disturb }: Scene): Promise<void> {
  const fleet = await SoakFleet.start(entry, { hasLinks: false })
  try {
    prepare(await addSilentServer(fleet.platform))
    const { clock, operator, caller, instances } = fleet
    operator.configure()
    await fleet.waitUntilConfigured()
    await Promise.all(instances.map(async ({ address }) => await caller.send({ address, id: 'first', path: '/silent/x', key: 'key-acme', method: 'GET' })))
    const until = clock.now() + PLAY_MS
    const [ended] = await Promise.all([send(fleet, until), disturb(fleet, until)])
    const { violations } = findCuts(fleet, ended, Disturbances.create(() => clock.now()))
    const neverAnswered = ended.filter(({ endedAt, deadline, reply: { status } }) => status === 0 && endedAt > deadline)
    const outcomes: Record<string, number> = {}
    ended.forEach(({ reply: { status } }) => { outcomes[status] = (outcomes[status] ?? 0) + 1 })
    t.log(`${ended.length} requests, by status ${JSON.stringify(outcomes)}; ${violations.length} without an answer, ${neverAnswered.length} until their callers left`)
    t.deepEqual(violations.slice(0, 3), [], `${violations.length} of ${ended.length} requests`)
    t.is(neverAnswered.length, 0)
    t.true(ended.filter(({ reply: { isWhole } }) => isWhole).length > ended.length / 2)
  } finally {
    await fleet.close()
  }
}

async function checkSilence (t: ExecutionContext, stage: StallStage): Promise<void> {
  await check(t, {
    send: async (fleet, until) => {
      const load = SilentServerLoad.create({ fleet, random: SeededRandom.create(SEED), name: `${stage}-${SEED}`, newConnections: 0.5 })
      await load.sendUntil(until, REQUESTS_PER_S)
      return load.ended
    },
    prepare: server => { server.stallOf = drawStalls(STALL_INTERVAL, [stage], SILENCE_MS, SILENCE_MS) },
    disturb: async (fleet, endsAt) => await configureUntil({ fleet, clock: fleet.clock, random: SeededRandom.create(SEED), endsAt }, CONFIGURATION_INTERVAL_MS, CONFIGURATION_INTERVAL_MS)
  })
}

describe('whole requests beside configurations, on real processes', () => {
  // Guards against 502 to a request whose only server is silent for a moment and would answer.
  it('get an answer if their only server is silent before the head', async t => {
    await checkSilence(t, StallStage.BeforeHead)
  })

  // Guards against 502 to a request of whose answer a part has arrived while its server is silent for a moment.
  it('get an answer if their only server is silent in the middle of a whole answer', async t => {
    await checkSilence(t, StallStage.MidAnswer)
  })
})

describe('an instance that stands still most of the time', () => {
  // Guards against connections that are closed unread later than 200 ms after their request was sent whole.
  it('closes no new connection without an answer', async t => {
    await check(t, {
      send: async ({ clock, instances }, until) => await sendOnNewConnections({ clock, addresses: instances.map(({ address }) => address), name: 'late', path: '/unknown/', perSecond: CONNECTIONS_PER_S, until }),
      prepare: () => {},
      disturb: async ({ clock, instances }, until) => await holdUntil(clock, instances[0] as SoakInstance, until)
    })
  })
})

describe('an instance that stands still while its shutdown stops listening', () => {
  // Guards against a shutdown that closes the connections of requests that have arrived whole and are not read yet.
  it('answers what has arrived meanwhile', async t => {
    await check(t, {
      prepare: () => {},
      send: async ({ clock, instances }) => {
        await waitUntil(clock, clock.now() + BURST_AFTER_MS)
        return await sendOnNewConnections({ clock, addresses: [instances[0]?.address ?? ''], name: 'shutdown', path: '/unknown/', perSecond: BURST_PER_S, until: clock.now() + BURST_MS })
      },
      disturb: async ({ clock, instances }) => {
        const { child } = instances[0] as SoakInstance
        const ended = child.terminate()
        await waitUntil(clock, clock.now() + STOPPED_AFTER_MS)
        child.suspend()
        await waitUntil(clock, clock.now() + STOPPED_MS)
        child.resume()
        await ended
      }
    })
  })
})
