/** What the instances of the simulated fleet learn about the speed of its engines, from the first events of answers. */
import { medianSpeeds } from '../relay/medianSpeeds.js'
import { PrefillSpeed, SETTLED_SAMPLES } from '../relay/prefillSpeed.js'
import { ordinarySpeed, ServerSpeed, type ObservedSpeed } from '../relay/serverSpeed.js'

/** Time that a real engine needs in addition to reading, milliseconds; the simulated ones need none, but the estimates subtract it. */
const SET_UP_MS = 20

export interface FirstEvent {
  readonly instance: number
  readonly engine: number
  readonly tokensToRead: number
  readonly waitMs: number
}

export class FleetSpeeds {
  /** The speed of all engines together, as each instance estimates it. */
  private readonly services: readonly PrefillSpeed[]
  /** The speed of each engine, as its watcher estimates it. */
  private readonly engines = new Map<number, ServerSpeed>()
  private readonly announced = new Map<number, ObservedSpeed>()

  private constructor (instances: number, private readonly isSpeedKnown: boolean) {
    this.services = Array.from({ length: instances }, () => PrefillSpeed.create())
  }

  /** @param isSpeedKnown whether the speed of each engine is estimated. */
  static create (instances: number, isSpeedKnown: boolean): FleetSpeeds {
    return new FleetSpeeds(instances, isSpeedKnown)
  }

  tokensPerMsAt (engine: number, instance: number): number {
    return this.speedOf(engine).tokensPerMs ?? this.serviceAt(instance).tokensPerMs
  }

  speedOf (engine: number): ObservedSpeed {
    return this.announced.get(engine) ?? ordinarySpeed
  }

  addSample ({ instance, engine, tokensToRead, waitMs }: FirstEvent): void {
    this.serviceAt(instance).addSample(tokensToRead, waitMs + SET_UP_MS)
    const service = this.isSpeedKnown ? this.medianSpeed() : undefined
    if (service !== undefined) {
      const speed = this.engines.get(engine) ?? ServerSpeed.create(service)
      this.engines.set(engine, speed)
      speed.addSample(tokensToRead, waitMs + SET_UP_MS)
      this.announced.set(engine, speed.observe(service))
    }
  }

  /** A heartbeat carries the speed of all engines together. */
  receiveHeartbeat (sender: number, receiver: number): void {
    const speed = this.serviceAt(sender)
    if (speed.samples >= SETTLED_SAMPLES) {
      this.serviceAt(receiver).adoptReport(speed)
    }
  }

  private medianSpeed (): number | undefined {
    const settled = this.services.filter(({ samples }) => samples >= SETTLED_SAMPLES)
    return medianSpeeds(settled.map(({ tokensPerMs, samples }) => ({ service: '', tokensPerMs, samples }))).get('')
  }

  private serviceAt (instance: number): PrefillSpeed {
    return this.services[instance] as PrefillSpeed
  }
}
