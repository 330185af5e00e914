/** The faults that a soak injects into processes, store and servers; each fault ends by itself. */
import { waitUntil, type Clock, type Random } from 'foxtaillever-core'
import { levelHeaders } from 'foxtaillever-platform/__fixtures__/crashingPrompts'
import { ENGINES, MODEL, Path, ZONES } from 'foxtaillever-platform/__fixtures__/relayFleet'
import { AppendFault, LinkCut, LinkFault, ServerFault, StoreMode, type BackendServer, type LevelFault } from 'foxtaillever-standins'
import type { Disturbances } from './disturbances.js'
import { oddEntries } from './leavingServers.js'
import { plannedWork } from './plannedWork.js'
import type { SoakFleet, SoakInstance } from './soakFleet.js'

export interface PlatformFaultContext {
  readonly fleet: SoakFleet
  readonly clock: Clock
  readonly random: Random
  readonly disturbances: Disturbances
  /** When instances were stopped or suspended, by address. */
  readonly outages: Disturbances
  /** When connections to servers were faulty. */
  readonly cuts: Disturbances
}

const MAX_PAUSE_MS = 2500
const MAX_STORE_FAULT_MS = 3000

/** Limits in requests a second that overloaded servers state; undefined: no limit any more. */
const STATED_RATES = [0, 1.1, 5, undefined]

/** Retry-After values of servers that refuse requests, seconds, and how long they refuse them at most, milliseconds. */
const RETRY_AFTER_S = [0.3, 1, 3]
const MAX_BACKOFF_MS = 4000

/** Longest cut of an instance's links to the servers, and shortest, milliseconds. */
const MAX_CUT_MS = 6000
const MIN_CUT_MS = 1500

/** Silence of a server that goes on afterwards, milliseconds. */
const SILENCE_MS = 1000

/** Rejections a second that brittle servers bear, and how long they are brittle, milliseconds. */
const REJECTIONS_PER_S = [1, 2, 4]
const BRITTLE_MS = 5000

/** Bounds of a restored store: age of the copy, outage before the restore, and time until lost records are written again, milliseconds. */
const MAX_COPY_AGE_MS = 3000
const MAX_OUTAGE_MS = 800
const MAX_REWRITE_DELAY_MS = 1500

/** How long a drained server goes on serving the requests that it has, milliseconds. */
const DRAIN_DURATION_MS = 3000

/** A server may state in its answers that it leaves up to this long before its entry says so, milliseconds. */
const MAX_STATEMENT_LEAD_MS = 600

/** Kills in series fall into one window of the retry budget, milliseconds between two. */
const SERIES_INTERVAL_MS = 1200

/** Prompts with a level that crashes the servers: how many, how far apart, and how long their callers wait, milliseconds. */
const CRASHING_PROMPTS = 20
const CRASHING_INTERVAL_MS = 200
const CRASHING_PATIENCE_MS = 2000
/** Faults of single answers. A seed plays what it did before `OddStatus` was added. */
const DRAWN_FAULTS = Object.values(ServerFault).filter(fault => fault !== ServerFault.OddStatus)

const CRASHES: readonly LevelFault[] = [ServerFault.CrashAtStart, ServerFault.CrashAfterStart]

/** How far starts of servers may be dated wrongly, milliseconds. */
const MAX_AHEAD_MS = 86_400_000

/** Software versions of servers that replace others. */
const SOFTWARE_VERSIONS = ['v1', 'v2', 'v3']

/** How many new weights are named in a row, each before the previous ones are loaded. */
const CHANGES_IN_SUCCESSION = 3
const SUCCESSION_INTERVAL_MS = 700

function draw<Value> (random: Random, values: readonly Value[]): Value {
  return values[random.below(values.length)] as Value
}

async function waitRandomly ({ clock, random }: PlatformFaultContext, maxMs: number): Promise<void> {
  await waitUntil(clock, clock.now() + random.below(maxMs))
}

function drawInstance ({ fleet, random }: PlatformFaultContext): SoakInstance {
  return draw(random, fleet.instances)
}

async function faultStore (context: PlatformFaultContext, instances: readonly SoakInstance[]): Promise<void> {
  const mode = draw(context.random, [StoreMode.Silent, StoreMode.Resetting, StoreMode.Refusing])
  await context.disturbances.recordDuring(async () => {
    instances.forEach(({ storeServer }) => storeServer.setMode(mode))
    await waitRandomly(context, MAX_STORE_FAULT_MS)
    instances.forEach(({ storeServer }) => storeServer.setMode(StoreMode.Up))
  })
}

async function makeServersBackOff (context: PlatformFaultContext, servers: readonly BackendServer[]): Promise<void> {
  const { fleet, random } = context
  const seconds = draw(random, RETRY_AFTER_S)
  servers.forEach(server => fleet.operator.setRetryAfter(server, seconds))
  await waitRandomly(context, MAX_BACKOFF_MS)
  servers.forEach(server => fleet.operator.setRetryAfter(server, undefined))
}

async function cutLinks ({ fleet, clock, random, cuts }: PlatformFaultContext, instances: readonly number[]): Promise<void> {
  const cut = draw(random, Object.values(LinkCut))
  const from = clock.now()
  await cuts.recordDuring(async () => {
    instances.forEach(index => fleet.instances[index]?.links.cut(cut))
    await waitUntil(clock, from + MIN_CUT_MS + random.below(MAX_CUT_MS - MIN_CUT_MS))
    instances.forEach(index => fleet.instances[index]?.links.repair())
  })
  fleet.operator.linkCuts.push({ instances, from, until: clock.now() })
}

async function replaceServer (context: PlatformFaultContext): Promise<void> {
  const { fleet, clock, random } = context
  const engines = fleet.platform.servers.filter(({ options, isLeaving }) => options.name.startsWith('engine') && !isLeaving)
  const leaving: BackendServer = draw(random, engines)
  await fleet.platform.addEngine(`engine-more-${fleet.platform.servers.length}`, ENGINES, draw(random, ZONES), { [MODEL]: fleet.operator.weights }, {}, draw(random, SOFTWARE_VERSIONS))
  leaving.isLeaving = true
  await waitRandomly(context, MAX_STATEMENT_LEAD_MS)
  fleet.operator.drain(leaving)
  await waitUntil(clock, clock.now() + DRAIN_DURATION_MS)
  fleet.platform.remove(leaving)
}

/** Entries that other writers may leave in the list, under their own key or that of a server. */
function foreignEntries ({ fleet }: PlatformFaultContext): Buffer[] {
  const { address } = fleet.platform.servers[0] as BackendServer
  const ready = { service: ENGINES, address, zone: ZONES[0], version: 'v1', slots: 8, state: 'ready', seq: 1, cold_left_ms: 0 }
  return [
    Buffer.from([0xff, 0xfe, 0x00]),
    Buffer.from('[]'),
    ...Object.values(oddEntries('nobody\'s', address)),
    ...[{}, { ...ready, slots: 'many' }, { ...ready, state: 'asleep' }, { ...ready, address: undefined }, { ...ready, service: 'nobody\'s', models: [{ name: MODEL, version: 1 }] }]
      .map(value => Buffer.from(JSON.stringify(value)))
  ]
}

async function killInstance (context: PlatformFaultContext, { child, address }: SoakInstance): Promise<void> {
  await context.outages.recordDuring(async () => {
    await child.kill()
    await waitRandomly(context, MAX_PAUSE_MS)
    child.start()
  }, address)
}

export const platformFaults: Readonly<Record<string, (context: PlatformFaultContext) => Promise<void>>> = {
  'kill an instance': async context => await killInstance(context, drawInstance(context)),
  'kill instances in series': async context => {
    const { fleet: { instances }, clock } = context
    await Promise.all(instances.map(async (instance, index) => {
      await waitUntil(clock, clock.now() + index * SERIES_INTERVAL_MS)
      await killInstance(context, instance)
    }))
  },
  'pause an instance': async context => {
    const { child, address } = drawInstance(context)
    await context.outages.recordDuring(async () => await context.disturbances.recordDuring(async () => {
      child.suspend()
      await waitRandomly(context, MAX_PAUSE_MS)
      child.resume()
    }), address)
  },
  'stop an instance in order': async context => {
    const { child, address } = drawInstance(context)
    await context.outages.recordDuring(async () => {
      await child.terminate()
      child.start()
    }, address)
  },
  'fault the store for one': async context => await faultStore(context, [drawInstance(context)]),
  'fault the store for all': async context => await faultStore(context, context.fleet.instances),
  'lose answers of the store': async context => {
    drawInstance(context).storeServer.faults.appends.push(draw(context.random, [AppendFault.AnswerLost, AppendFault.Late]))
  },
  'restore the store from an older copy': async context => {
    const { fleet: { platform }, random, disturbances } = context
    const copy = platform.store.copy()
    await waitRandomly(context, MAX_COPY_AGE_MS)
    await disturbances.recordDuring(async () => await platform.restoreStore({ copy, outageMs: random.below(MAX_OUTAGE_MS), rewriteDelayMs: random.below(MAX_REWRITE_DELAY_MS) }))
  },
  'forget the history': async ({ fleet }) => fleet.platform.store.compact(),
  // Each fault hits one request. If only one server got a fault, few requests of a short run would hit one.
  'send prompts that crash the servers': async ({ fleet, clock, random }) => {
    const { platform, instances, caller } = fleet
    const level = `crashing-${platform.crashingLevels.size}`
    platform.crashingLevels.set(level, draw(random, CRASHES))
    const sent: Array<Promise<unknown>> = []
    for (let count = 0; count < CRASHING_PROMPTS; count += 1) {
      const id = `${level}-${count}`
      sent.push(caller.send({ address: draw(random, instances).address, id, path: `${Path.Stream}x`, key: 'key-acme', headers: levelHeaders(level, id), patienceMs: CRASHING_PATIENCE_MS }))
      await waitUntil(clock, clock.now() + CRASHING_INTERVAL_MS)
    }
    await Promise.all(sent)
  },
  'fault the servers': async ({ fleet, random }) => {
    fleet.platform.servers.forEach(({ faults }) => faults.push(draw(random, DRAWN_FAULTS)))
  },
  'limit a server': async ({ fleet, random }) => fleet.operator.stateLimit(draw(random, fleet.platform.servers), draw(random, STATED_RATES)),
  'rest a server': async context => await makeServersBackOff(context, [draw(context.random, context.fleet.platform.servers)]),
  'rest all servers': async context => await makeServersBackOff(context, context.fleet.platform.servers),
  'replace a server while the store is dark': async context => {
    await Promise.all([faultStore(context, context.fleet.instances), replaceServer(context)])
  },
  'start servers again under their ids': async ({ fleet, random }) => draw(random, fleet.platform.servers).crash(true),
  'write entries that are no servers\'': async context => {
    const { fleet, random } = context
    const keys = ['somebody', draw(random, fleet.platform.servers).id]
    foreignEntries(context).forEach(value => fleet.platform.writeForeign(draw(random, keys), value))
  },
  // Another writer dates the start of a server in the future; the server's next entry is its own again.
  'date the start of a server in the future': async ({ fleet: { platform }, random }) => {
    const { id, address, startedAt } = draw(random, platform.servers)
    platform.writeForeign(id, Buffer.from(JSON.stringify({ service: 'nobody\'s', address, zone: ZONES[0], version: 'v1', slots: 8, state: 'ready', seq: 1, cold_left_ms: 0, born: startedAt + MAX_AHEAD_MS })))
  },
  'set the clock of a server back and start it again': async ({ fleet: { platform }, random }) => {
    const server = draw(random, platform.servers)
    server.clockAheadMs -= random.below(MAX_AHEAD_MS)
    server.crash(true)
  },
  'replace a server': replaceServer,
  'disturb the links': async ({ fleet, random, cuts }) => {
    const fault = draw(random, Object.values(LinkFault))
    await cuts.recordDuring(async () => fleet.platform.links.forEach(link => link.injectFault(fault)))
  },
  'cut the links of an instance': async context => await cutLinks(context, [context.random.below(context.fleet.instances.length)]),
  'cut the links of all but one instance': async context => {
    const { random, fleet: { instances } } = context
    const sound = random.below(instances.length)
    await cutLinks(context, instances.map((_, index) => index).filter(index => index !== sound))
  },
  'cut the links of one instance after the other': async context => {
    for (const index of context.fleet.instances.keys()) {
      await cutLinks(context, [index])
    }
  },
  'silence a server': async ({ fleet: { platform }, random }) => await platform.silence([draw(random, platform.servers)], SILENCE_MS),
  'make servers brittle': async ({ fleet, clock, random }) => {
    const kind = draw(random, ['engine', 'plain'])
    const servers = fleet.platform.servers.filter(({ options }) => options.name.startsWith(kind))
    fleet.operator.setBrittle(servers, draw(random, REJECTIONS_PER_S))
    await waitUntil(clock, clock.now() + BRITTLE_MS)
    fleet.operator.setBrittle(servers, undefined)
  },
  'empty the cache store': async ({ fleet }) => fleet.operator.clearCacheStore(),
  'name new weights': async ({ fleet }) => fleet.operator.nameWeights(),
  'name weights in quick succession': async ({ fleet, clock }) => {
    for (let count = 0; count < CHANGES_IN_SUCCESSION; count += 1) {
      fleet.operator.nameWeights()
      await waitUntil(clock, clock.now() + SUCCESSION_INTERVAL_MS)
    }
  },
  'change the configuration': async ({ fleet }) => fleet.operator.configure(),
  ...plannedWork
}
