/** Disturbances of a soak beside servers that are silent for a moment: configurations in quick succession, and an instance that runs a quarter of the time. */
import { waitUntil, type Clock, type Random } from 'foxtaillever-core'
import type { Disturbances } from './disturbances.js'
import type { SoakFleet, SoakInstance } from './soakFleet.js'

const MIN_INTERVAL_MS = 330
const MAX_INTERVAL_MS = 700

/** Turns in which an instance stands still, and how long in each, milliseconds. */
const TURN_MS = 400
const STOPPED_MS = 300

/** How long an instance does so before another one is drawn, milliseconds. */
const HELD_MS = 3000

export interface SilencesContext {
  readonly fleet: SoakFleet
  readonly clock: Clock
  readonly random: Random
  readonly endsAt: number
}

export async function configureUntil ({ fleet, clock, random, endsAt }: SilencesContext, minMs = MIN_INTERVAL_MS, maxMs = MAX_INTERVAL_MS): Promise<void> {
  while (clock.now() < endsAt) {
    fleet.operator.configure()
    await waitUntil(clock, clock.now() + minMs + random.below(maxMs - minMs + 1))
  }
}

/** Stops and resumes the instance in turns, until the time. */
export async function holdUntil (clock: Clock, { child }: SoakInstance, until: number): Promise<void> {
  while (clock.now() < until) {
    child.suspend()
    await waitUntil(clock, clock.now() + STOPPED_MS)
    child.resume()
    await waitUntil(clock, clock.now() + TURN_MS - STOPPED_MS)
  }
}

/** Holds one drawn instance after the other. */
export async function holdInstancesUntil ({ fleet: { instances }, clock, random, endsAt }: SilencesContext, outages: Disturbances, disturbances: Disturbances): Promise<void> {
  while (clock.now() < endsAt) {
    const instance = instances[random.below(instances.length)] as SoakInstance
    const hold = async (): Promise<void> => await holdUntil(clock, instance, Math.min(endsAt, clock.now() + HELD_MS))
    await outages.recordDuring(async () => await disturbances.recordDuring(hold, instance.address), instance.address)
  }
}
