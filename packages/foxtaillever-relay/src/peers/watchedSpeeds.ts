/**
 * Reading speeds of servers, from the first events of all instances. An instance uses
 * a given server too rarely to estimate its speed, so every instance sends its samples
 * with its load reports to the server's first watcher, which announces the speed with
 * its answers and heartbeats. A watcher that takes over starts from what was announced;
 * sent to both watchers, samples would take an instance beyond 14 KB/s.
 */
import { ordinarySpeed, ServerSpeed, type ObservedSpeed } from 'foxtaillever-policy/relay/serverSpeed'
import { isSpeedSample } from 'foxtaillever-policy/relay/speedEstimate'

/** The first event of an answer. */
export interface SpeedSample {
  /** Hash of the server's incarnation. */
  readonly server: number
  /** Prompt tokens that were to be read until then. */
  readonly tokens: number
  /** Time since the request was sent, milliseconds. */
  readonly ms: number
}

/** Why a server's home weight changed. */
export interface WeightStepChange {
  readonly server: number
  readonly before: number
  readonly step: number
  readonly samples: number
  readonly tokensPerMs: number
  readonly serviceTokensPerMs: number
}

/** What the instance knows of the speed of each server, by the hash of its incarnation. */
export interface SpeedRegistry {
  /** Undefined for an unknown server. */
  readonly of: (server: number) => ObservedSpeed | undefined
  /** Speed of the server's service, the same at all instances; undefined while no instance has enough samples of it. */
  readonly serviceTokensPerMs: (server: number) => number | undefined
  readonly record: (server: number, speed: ObservedSpeed) => void
  readonly onWeightStep: (change: WeightStepChange) => void
}

/** Samples kept for one watcher until the next report to it; newer ones replace older ones. One report with these has 200 bytes more. */
const MAX_PENDING_SAMPLES = 16

/** Samples kept for one server until the speed of its service is known, which takes some seconds after a start of all instances. */
const MAX_EARLY_SAMPLES = 16

/** Pending samples of a watcher that gets no report are dropped after this many milliseconds: every watcher in use gets one with each heartbeat. */
const PENDING_MS = 2500

/** How long a speed that is the service's again is announced, milliseconds: two rounds of heartbeats of 64 instances. */
const RETURNED_MS = 8000

interface PendingSamples {
  readonly samples: readonly SpeedSample[]
  /** When the last one was added, milliseconds of Unix time. */
  readonly at: number
}

export class WatchedSpeeds {
  private readonly speeds = new Map<number, ServerSpeed>()
  /** Samples from before the speed of the service was known, by server. */
  private readonly early = new Map<number, readonly SpeedSample[]>()
  /** When servers were last announced with a speed of their own, milliseconds of Unix time. */
  private readonly distinctAt = new Map<number, number>()
  /** Samples not yet reported, by the watcher's address. */
  private readonly pending = new Map<string, PendingSamples>()

  private constructor (private readonly registry: SpeedRegistry) {}

  static create (registry: SpeedRegistry): WatchedSpeeds {
    return new WatchedSpeeds(registry)
  }

  /** Keeps a sample of this instance for the next report to the watcher. */
  addSample ({ server, tokens, ms }: SpeedSample, watcher: string, now: number): void {
    if (isSpeedSample(tokens, ms)) {
      const sample = { server, tokens: Math.round(tokens), ms: Math.round(ms) }
      const earlier = this.pending.get(watcher)?.samples ?? []
      this.pending.set(watcher, { samples: [...earlier, sample].slice(-MAX_PENDING_SAMPLES), at: now })
    }
  }

  /** Removes and returns the samples for a report to the watcher. */
  takeSamples (watcher: string): readonly SpeedSample[] {
    const samples = this.pending.get(watcher)?.samples ?? []
    this.pending.delete(watcher)
    return samples
  }

  /** @param isFirst whether this instance is the first watcher of a server. */
  recordSamples (samples: readonly SpeedSample[], isFirst: (server: number) => boolean, now: number): void {
    for (const sample of samples) {
      const { server } = sample
      const known = this.registry.of(server)
      const serviceTokensPerMs = this.registry.serviceTokensPerMs(server)
      if (known !== undefined && serviceTokensPerMs !== undefined) {
        this.addSamples([...this.early.get(server) ?? [], sample], known, serviceTokensPerMs)
        this.early.delete(server)
        if (isFirst(server)) {
          this.announce(server, known, serviceTokensPerMs, now)
        }
      } else if (known !== undefined) {
        this.early.set(server, [...this.early.get(server) ?? [], sample].slice(-MAX_EARLY_SAMPLES))
      }
    }
  }

  private addSamples (samples: readonly SpeedSample[], known: ObservedSpeed, serviceTokensPerMs: number): void {
    for (const { server, tokens, ms } of samples) {
      const speed = this.speeds.get(server) ?? ServerSpeed.create(serviceTokensPerMs, known)
      this.speeds.set(server, speed)
      speed.addSample(tokens, ms)
    }
  }

  /** The server's speed for other instances; undefined where the service's applies. */
  announcedSpeed (server: number): ObservedSpeed | undefined {
    const { tokensPerMs, weightStep } = this.registry.of(server) ?? ordinarySpeed
    return tokensPerMs === undefined && weightStep === 0 ? undefined : { tokensPerMs, weightStep }
  }

  /** Whether the server had a speed of its own a moment ago, which other instances may still use. */
  hasReturned (server: number, now: number): boolean {
    return (this.distinctAt.get(server) ?? -Infinity) + RETURNED_MS > now
  }

  /** Removes the estimates of servers that are gone, and samples that no report took. */
  retain (now: number): void {
    for (const server of [...this.speeds.keys(), ...this.early.keys()]) {
      if (this.registry.of(server) === undefined) {
        this.speeds.delete(server)
        this.early.delete(server)
        this.distinctAt.delete(server)
      }
    }
    this.pending.forEach(({ at }, watcher) => {
      if (at + PENDING_MS <= now) {
        this.pending.delete(watcher)
      }
    })
  }

  /** The step continues from the one that the instances use, which the previous first watcher may have announced. */
  private announce (server: number, { weightStep: before }: ObservedSpeed, serviceTokensPerMs: number, now: number): void {
    const speed = this.speeds.get(server)
    if (speed === undefined) {
      return
    }
    speed.adoptWeightStep(before)
    const observed = speed.observe(serviceTokensPerMs)
    this.registry.record(server, observed)
    if (observed.weightStep !== before) {
      this.registry.onWeightStep({ server, before, step: observed.weightStep, samples: speed.samples, tokensPerMs: speed.longTermTokensPerMs, serviceTokensPerMs })
    }
    if (this.announcedSpeed(server) !== undefined) {
      this.distinctAt.set(server, now)
    }
  }
}
