/** One soak of the real program on the users' platform: load and faults for a stated time, then the questions. */
import { SeededRandom, SystemClock, waitUntil } from 'foxtaillever-core'
import { Disturbances } from './disturbances.js'
import { platformFaults } from './platformFaults.js'
import { PlatformLoad } from './platformLoad.js'
import { limitComplaints, serverComplaints, statementComplaints } from './serverPromises.js'
import { SoakedFleet } from './soakedFleet.js'

export interface PlatformSoakOptions {
  readonly seed: number
  readonly seconds: number
  /** The program to run. */
  readonly entry: string
}

export interface PlatformSoakReport {
  readonly complaints: readonly string[]
  readonly outcomes: Readonly<Record<string, number>>
  readonly faults: Readonly<Record<string, number>>
  /** How often what the promises are about has happened at all. */
  readonly seen: Readonly<Record<string, number>>
}

const REQUEST_MS = 20
const LONGEST_CALM_MS = 800

export async function runPlatformSoak ({ seed, seconds, entry }: PlatformSoakOptions): Promise<PlatformSoakReport> {
  const clock = SystemClock.create()
  const random = SeededRandom.create(seed)
  const fleet = await SoakedFleet.start(entry)
  const disturbances = Disturbances.create(() => clock.now())
  const outages = Disturbances.create(() => clock.now())
  const cuts = Disturbances.create(() => clock.now())
  const load = PlatformLoad.create(fleet, SeededRandom.create(seed + 1), disturbances)
  const endsAt = clock.now() + seconds * 1000
  const faults: Record<string, number> = {}
  const names = Object.keys(platformFaults)
  const disturb = async (): Promise<void> => {
    while (clock.now() < endsAt) {
      const name = names[random.below(names.length)] ?? ''
      faults[name] = (faults[name] ?? 0) + 1
      await platformFaults[name]?.({ fleet, clock, random, disturbances, outages, cuts })
      await waitUntil(clock, clock.now() + random.below(LONGEST_CALM_MS))
    }
  }
  const send = async (): Promise<void> => {
    const open: Array<Promise<void>> = []
    while (clock.now() < endsAt) {
      open.push(load.send())
      await waitUntil(clock, clock.now() + REQUEST_MS)
    }
    await Promise.all(open)
  }
  try {
    await Promise.all([disturb(), disturb(), send()])
    await fleet.waitUntilServing()
    await fleet.waitUntilConfigured()
    await fleet.waitUntilSettled()
    const { platform, operator } = fleet
    const seen = { cachedLevelsUsed: platform.partUses().length, orders: platform.acceptedOrders().length, drains: operator.drains.length, keysTaken: operator.terms.length - 1, limits: operator.rates.length, rests: operator.rests }
    return { complaints: [...load.complaints(), ...serverComplaints(fleet, disturbances), ...limitComplaints(fleet, outages), ...statementComplaints(fleet, load.requests, outages, cuts)], outcomes: load.outcomes, faults, seen }
  } finally {
    await fleet.end()
  }
}
