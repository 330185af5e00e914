/** Work that operators plan, which must cut no stream: shutdowns, settings, configurations and releases, in series. Beside it, engines and processors that pause. */
import { waitUntil } from 'foxtaillever-core'
import { LONG_SERVICES, replaceLongEngine } from './longStreams.js'
import type { PlatformFaultContext } from './platformFaults.js'
import type { SoakInstance } from './soakFleet.js'

/** From the first SIGTERM to the second, milliseconds. */
const SECOND_SIGNAL_MS = 500

const CONFIGURATION_INTERVAL_MS = 330
const CONFIGURATIONS = 12

/** A process that has just started does not handle signals yet, milliseconds. */
const STARTED_MS = 1500

/** Pause of an engine in the middle of its streams, milliseconds. */
const MIN_PAUSE_MS = 500
const MAX_PAUSE_MS = 3000

/** Turns in which an instance has a processor for 0.3 of the time, milliseconds. */
const TURN_MS = 100
const STOPPED_MS = 70
const HELD_BACK_MS = 6000

/** Stops an instance that no other work stops, and starts it again. */
async function stop ({ outages }: PlatformFaultContext, { child, address }: SoakInstance, end: () => Promise<void>): Promise<void> {
  if (!child.isEnding) {
    await outages.recordDuring(async () => {
      await end()
      child.start()
    }, address)
  }
}

export const plannedWork: Readonly<Record<string, (context: PlatformFaultContext) => Promise<void>>> = {
  'stop instances in order in series': async context => {
    for (const instance of context.fleet.instances) {
      await stop(context, instance, async () => { await instance.child.terminate() })
    }
  },
  'stop an instance with two signals': async context => {
    const { fleet: { instances }, clock, random } = context
    const instance = instances[random.below(instances.length)] as SoakInstance
    await stop(context, instance, async () => {
      const ended = instance.child.terminate()
      await waitUntil(clock, clock.now() + SECOND_SIGNAL_MS)
      await instance.child.terminate()
      await ended
    })
  },
  'reload the settings of instances': async ({ fleet: { instances } }) => instances.forEach(({ child }) => child.reload(STARTED_MS)),
  'change the configuration in series': async ({ fleet, clock }) => {
    for (let count = 0; count < CONFIGURATIONS; count += 1) {
      fleet.operator.configure()
      await waitUntil(clock, clock.now() + CONFIGURATION_INTERVAL_MS)
    }
  },
  'release a software version': async ({ fleet, clock }) => {
    const version = `r${Math.floor(clock.now())}`
    for (const [service, count] of Object.entries(LONG_SERVICES)) {
      for (let index = 0; index < count; index += 1) {
        await replaceLongEngine(fleet, service, version)
      }
    }
  },
  'pause an engine': async ({ fleet: { platform }, clock, random }) => {
    const engines = platform.engines()
    engines[random.below(engines.length)]?.engine.pauseUntil(clock.now() + MIN_PAUSE_MS + random.below(MAX_PAUSE_MS - MIN_PAUSE_MS))
  },
  'pause all engines': async ({ fleet: { platform }, clock, random }) => {
    platform.engines().forEach(({ engine }) => engine.pauseUntil(clock.now() + MIN_PAUSE_MS + random.below(MAX_PAUSE_MS - MIN_PAUSE_MS)))
  },
  'hold the processors of instances back': async ({ fleet: { instances }, clock }) => {
    const until = clock.now() + HELD_BACK_MS
    while (clock.now() < until) {
      instances.forEach(({ child }) => child.suspend())
      await waitUntil(clock, clock.now() + STOPPED_MS)
      instances.forEach(({ child }) => child.resume())
      await waitUntil(clock, clock.now() + TURN_MS - STOPPED_MS)
    }
  }
}
