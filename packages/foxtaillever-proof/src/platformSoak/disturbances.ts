/**
 * Periods of a soak in which instances could not learn of changes, because the
 * store was unreachable or an instance was suspended. The promises on how soon a
 * change takes effect count from the end of such a period.
 */

/** How long after a disturbance instances may still act on outdated knowledge, milliseconds. */
const RECOVERY_MS = 3000

interface Disturbance {
  /** Address of the disturbed instance; undefined for all instances. */
  readonly address: string | undefined
  readonly from: number
  /** Milliseconds of Unix time; Infinity while it lasts. */
  until: number
}

export class Disturbances {
  private readonly disturbances: Disturbance[] = []

  private constructor (private readonly now: () => number) {}

  static create (now: () => number): Disturbances {
    return new Disturbances(now)
  }

  async recordDuring (disturb: () => Promise<void>, address?: string): Promise<void> {
    const disturbance: Disturbance = { address, from: this.now(), until: Infinity }
    this.disturbances.push(disturbance)
    await disturb()
    disturbance.until = this.now() + RECOVERY_MS
  }

  /** Whether there was no disturbance from `from` to `until`, milliseconds of Unix time; with an address, whether that instance had none. */
  wasUndisturbed (from: number, until: number, address?: string): boolean {
    return this.disturbances
      .filter(disturbance => address === undefined || (disturbance.address ?? address) === address)
      .every(disturbance => disturbance.until < from || disturbance.from > until)
  }
}
