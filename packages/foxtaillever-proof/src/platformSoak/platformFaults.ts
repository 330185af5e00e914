/** What a soak does to processes, store and servers; each fault ends by itself. */
import { waitUntil, type Clock, type Random } from 'foxtaillever-core'
import { ENGINES, MODEL, ZONES } from 'foxtaillever-platform/__fixtures__/relayFleet'
import { AppendFault, LinkFault, ServerFault, StoreMode, type BackendServer } from 'foxtaillever-standins'
import type { Disturbances } from './disturbances.js'
import type { SoakedFleet, SoakedInstance } from './soakedFleet.js'

export interface PlatformFaultContext {
  readonly fleet: SoakedFleet
  readonly clock: Clock
  readonly random: Random
  readonly disturbances: Disturbances
  /** Instances that stop or stand still, by address. */
  readonly outages: Disturbances
  /** Connections to servers are cut. */
  readonly cuts: Disturbances
}

const LONGEST_PAUSE_MS = 2500
const LONGEST_STORE_FAULT_MS = 3000

/** Rates that servers in need state; undefined: the need is over. */
const RATES = [0, 1.1, 5, undefined]

/** What servers ask for that turn requests away, seconds, and how long they need at most, milliseconds. */
const RESTS_S = [0.3, 1, 3]
const LONGEST_NEED_MS = 4000

/** The store may be restored from a copy so old, after it was away for so long; what was lost is written again in that time, milliseconds. */
const OLDEST_COPY_MS = 3000
const LONGEST_AWAY_MS = 800
const LONGEST_REWRITE_MS = 1500

/** Drained servers go on serving what they have for this long, milliseconds. */
const DRAINED_SERVES_MS = 3000

/** Weights named one after the other while those before are not loaded yet. */
const SERIES = 3
const SERIES_PAUSE_MS = 700

function draw<Value> (random: Random, values: readonly Value[]): Value {
  return values[random.below(values.length)] as Value
}

async function rest ({ clock, random }: PlatformFaultContext, most: number): Promise<void> {
  await waitUntil(clock, clock.now() + random.below(most))
}

function drawInstance ({ fleet, random }: PlatformFaultContext): SoakedInstance {
  return draw(random, fleet.instances)
}

async function faultStore (context: PlatformFaultContext, doors: readonly SoakedInstance[]): Promise<void> {
  const mode = draw(context.random, [StoreMode.Silent, StoreMode.Resetting, StoreMode.Refusing])
  await context.disturbances.during(async () => {
    doors.forEach(({ door }) => door.setMode(mode))
    await rest(context, LONGEST_STORE_FAULT_MS)
    doors.forEach(({ door }) => door.setMode(StoreMode.Up))
  })
}

async function restServers (context: PlatformFaultContext, servers: readonly BackendServer[]): Promise<void> {
  const { fleet, random } = context
  const seconds = draw(random, RESTS_S)
  servers.forEach(server => fleet.operator.rest(server, seconds))
  await rest(context, LONGEST_NEED_MS)
  servers.forEach(server => fleet.operator.rest(server, undefined))
}

async function replaceServer ({ fleet, clock, random }: PlatformFaultContext): Promise<void> {
  const engines = fleet.platform.servers.filter(({ options, isLeaving }) => options.name.startsWith('engine') && !isLeaving)
  const leaving: BackendServer = draw(random, engines)
  await fleet.platform.addEngine(`engine-more-${fleet.platform.servers.length}`, ENGINES, draw(random, ZONES), { [MODEL]: fleet.operator.weights })
  fleet.operator.drain(leaving)
  await waitUntil(clock, clock.now() + DRAINED_SERVES_MS)
  fleet.platform.remove(leaving)
}

/** What other writers may leave in the list, under a key of their own or a server's. */
function foreignEntries ({ fleet }: PlatformFaultContext): Buffer[] {
  const { address } = fleet.platform.servers[0] as BackendServer
  const ready = { service: ENGINES, address, zone: ZONES[0], version: 'v1', slots: 8, state: 'ready', seq: 1, cold_left_ms: 0 }
  return [
    Buffer.from([0xff, 0xfe, 0x00]),
    Buffer.from('[]'),
    ...[{}, { ...ready, slots: 'many' }, { ...ready, state: 'asleep' }, { ...ready, address: undefined }, { ...ready, service: 'nobody\'s', models: [{ name: MODEL, version: 1 }] }]
      .map(value => Buffer.from(JSON.stringify(value)))
  ]
}

export const platformFaults: Readonly<Record<string, (context: PlatformFaultContext) => Promise<void>>> = {
  'kill an instance': async context => {
    const { child, address } = drawInstance(context)
    await context.outages.during(async () => {
      await child.kill()
      await rest(context, LONGEST_PAUSE_MS)
      child.start()
    }, address)
  },
  'pause an instance': async context => {
    const { child, address } = drawInstance(context)
    await context.outages.during(async () => await context.disturbances.during(async () => {
      child.stop()
      await rest(context, LONGEST_PAUSE_MS)
      child.continue()
    }), address)
  },
  'stop an instance in order': async context => {
    const { child, address } = drawInstance(context)
    await context.outages.during(async () => {
      await child.terminate()
      child.start()
    }, address)
  },
  'fault the store for one': async context => await faultStore(context, [drawInstance(context)]),
  'fault the store for all': async context => await faultStore(context, context.fleet.instances),
  'lose answers of the store': async context => {
    drawInstance(context).door.faults.appends.push(draw(context.random, [AppendFault.AnswerLost, AppendFault.Late]))
  },
  'restore the store from an older copy': async context => {
    const { fleet: { platform }, random, disturbances } = context
    const copy = platform.store.copy()
    await rest(context, OLDEST_COPY_MS)
    await disturbances.during(async () => await platform.restoreStore({ copy, outageMs: random.below(LONGEST_AWAY_MS), rewriteDelayMs: random.below(LONGEST_REWRITE_MS) }))
  },
  'forget the history': async ({ fleet }) => fleet.platform.store.compact(),
  // Each is taken by one request; with one at a single server, few requests of a short run would meet one.
  'fault the servers': async ({ fleet, random }) => {
    fleet.platform.servers.forEach(({ faults }) => faults.push(draw(random, Object.values(ServerFault))))
  },
  'limit a server': async ({ fleet, random }) => fleet.operator.limit(draw(random, fleet.platform.servers), draw(random, RATES)),
  'rest a server': async context => await restServers(context, [draw(context.random, context.fleet.platform.servers)]),
  'rest all servers': async context => await restServers(context, context.fleet.platform.servers),
  'replace a server while the store is dark': async context => {
    await Promise.all([faultStore(context, context.fleet.instances), replaceServer(context)])
  },
  'start servers again under their ids': async ({ fleet, random }) => draw(random, fleet.platform.servers).crash(true),
  'write entries that are no servers\'': async context => {
    const { fleet, random } = context
    const keys = ['somebody', draw(random, fleet.platform.servers).id]
    foreignEntries(context).forEach(value => fleet.platform.writeForeign(draw(random, keys), value))
  },
  'replace a server': replaceServer,
  'disturb the links': async ({ fleet, random, cuts }) => {
    const fault = draw(random, Object.values(LinkFault))
    await cuts.during(async () => fleet.platform.links.forEach(link => link.injectFault(fault)))
  },
  'empty the cache store': async ({ fleet }) => fleet.operator.clearCacheStore(),
  'name new weights': async ({ fleet }) => fleet.operator.nameWeights(),
  'name weights in quick succession': async ({ fleet, clock }) => {
    for (let count = 0; count < SERIES; count += 1) {
      fleet.operator.nameWeights()
      await waitUntil(clock, clock.now() + SERIES_PAUSE_MS)
    }
  },
  'change the configuration': async ({ fleet }) => fleet.operator.configure()
}
