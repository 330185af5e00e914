/** One soak of the real program on stand-ins of the users' platform: load and faults for a given time, then the checks. */
import { SeededRandom, SystemClock, waitUntil } from 'foxtaillever-core'
import { findCuts, unexpectedExits } from './cutStreams.js'
import { Disturbances } from './disturbances.js'
import { answerWithoutEnd, endlessViolations } from './endlessAnswers.js'
import { LongStreams } from './longStreams.js'
import { platformFaults } from './platformFaults.js'
import { PlatformLoad } from './platformLoad.js'
import { brittleViolations, limitViolations, linkCutViolations, retryViolations, serverViolations, statementViolations } from './serverViolations.js'
import { configureUntil, holdInstancesUntil } from './silences.js'
import { addSilentServer, drawStalls, SilentServerLoad } from './silentServers.js'
import { SoakFleet } from './soakFleet.js'

export interface PlatformSoakOptions {
  readonly seed: number
  readonly seconds: number
  /** The program to run. */
  readonly entry: string
  /** Names of the faults to draw from; all if not given. */
  readonly faultNames?: readonly string[]
  /** Whether servers also answer without end. */
  readonly hasEndlessAnswers?: boolean
  /** Whether servers also fall silent for a moment, beside configurations and an instance that stands still. */
  readonly hasSilences?: boolean
}

export interface PlatformSoakReport {
  readonly violations: readonly string[]
  readonly outcomes: Readonly<Record<string, number>>
  readonly faults: Readonly<Record<string, number>>
  /** How often the events that the promises cover occurred. */
  readonly seen: Readonly<Record<string, number>>
  /** Long streams that were cut for a reason that excuses it, by reason. */
  readonly excused: Readonly<Record<string, number>>
}

const REQUEST_INTERVAL_MS = 20
const MAX_FAULT_INTERVAL_MS = 800
const LONG_STREAM_INTERVAL_MS = 100

/** Load of the server that falls silent, requests a second, the share on new connections, and how few of them it is silent for. */
const SILENT_LOAD_PER_S = 60
const NEW_CONNECTIONS = 0.5
const STALL_INTERVAL = 4

/** Every so many seeds, each engine of long streams has a software version of its own. */
const OWN_VERSIONS_SEEDS = 3

export async function runPlatformSoak ({ seed, seconds, entry, faultNames = Object.keys(platformFaults), hasEndlessAnswers = false, hasSilences = false }: PlatformSoakOptions): Promise<PlatformSoakReport> {
  const clock = SystemClock.create()
  const random = SeededRandom.create(seed)
  const fleet = await SoakFleet.start(entry, { hasOwnVersions: seed % OWN_VERSIONS_SEEDS === 0 })
  const disturbances = Disturbances.create(() => clock.now())
  const outages = Disturbances.create(() => clock.now())
  const cuts = Disturbances.create(() => clock.now())
  const load = PlatformLoad.create(fleet, SeededRandom.create(seed + 1), disturbances)
  const longStreams = LongStreams.create(fleet, SeededRandom.create(seed + 2))
  const endsAt = clock.now() + seconds * 1000
  const faults: Record<string, number> = {}
  const silences = { fleet, clock, random: SeededRandom.create(seed + 3), endsAt }
  const silentLoad = SilentServerLoad.create({ fleet, random: SeededRandom.create(seed + 4), name: `silent-${seed}`, newConnections: NEW_CONNECTIONS })
  const endless = { fleet, clock, random: SeededRandom.create(seed + 2), endsAt }
  const injectFaults = async (): Promise<void> => {
    while (clock.now() < endsAt) {
      const name = faultNames[random.below(faultNames.length)] ?? ''
      faults[name] = (faults[name] ?? 0) + 1
      await platformFaults[name]?.({ fleet, clock, random, disturbances, outages, cuts })
      await waitUntil(clock, clock.now() + random.below(MAX_FAULT_INTERVAL_MS))
    }
  }
  const sendRequests = async (): Promise<void> => {
    const pending: Array<Promise<void>> = []
    while (clock.now() < endsAt) {
      pending.push(load.send())
      await waitUntil(clock, clock.now() + REQUEST_INTERVAL_MS)
    }
    await Promise.all(pending)
  }
  const silenceServers = async (): Promise<void> => {
    await addSilentServer(fleet.platform)
    fleet.platform.servers.filter(({ options: { name } }) => /^(long|silent)/.test(name)).forEach(server => { server.stallOf = drawStalls(STALL_INTERVAL) })
    await Promise.all([configureUntil(silences), holdInstancesUntil(silences, outages, disturbances), silentLoad.sendUntil(endsAt, SILENT_LOAD_PER_S)])
  }
  try {
    const [endlessBegun] = await Promise.all([hasEndlessAnswers ? answerWithoutEnd(endless) : {}, injectFaults(), injectFaults(), sendRequests(), longStreams.sendUntil(endsAt, LONG_STREAM_INTERVAL_MS), hasSilences ? silenceServers() : undefined])
    await fleet.waitUntilServing()
    await fleet.waitUntilConfigured()
    await fleet.waitUntilSettled()
    const openEndless = hasEndlessAnswers ? await endlessViolations(endless) : []
    const { platform, operator } = fleet
    const cutStreams = findCuts(fleet, [...longStreams.ended, ...silentLoad.ended], cuts)
    const seen = { longStreams: longStreams.ended.length, longStreamsWhole: longStreams.ended.filter(({ reply: { status, isWhole } }) => status === 200 && isWhole).length, shortRequests: silentLoad.ended.length, shortRequestsWhole: silentLoad.ended.filter(({ reply: { status, isWhole } }) => status === 200 && isWhole).length, neverAnswered: silentLoad.neverAnswered.length, requestsCut: cutStreams.violations.length, requestsExcused: Object.values(cutStreams.excused).reduce((sum, count) => sum + count, 0), cachedLevelsUsed: platform.partUses().length, orders: platform.acceptedOrders().length, drains: operator.drains.length, keysTaken: operator.temporaryKeys.length - 1, limits: operator.rates.length, rests: operator.backoffCount, linkCuts: operator.linkCuts.length, streamsTakenUp: load.takenUp.streams, streamsWentOn: load.takenUp.wentOn, falls: platform.servers.reduce((sum, { falls }) => sum + falls.length, 0) }
    return { violations: [...openEndless, ...load.violations(), ...serverViolations(fleet, disturbances), ...limitViolations(fleet, outages), ...statementViolations(fleet, load.requests, outages, cuts), ...linkCutViolations(fleet, load.replies, outages), ...brittleViolations(fleet, outages, cuts), ...retryViolations(fleet, load.requestTimes), ...cutStreams.violations, ...unexpectedExits(fleet)], outcomes: load.outcomes, faults: { ...faults, ...endlessBegun }, seen, excused: cutStreams.excused }
  } finally {
    await fleet.close()
  }
}
