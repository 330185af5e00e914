/**
 * When the fleet was out of touch during a soak. While the store is out of
 * reach or an instance stands still, nobody can know what changed; the
 * promises on how soon a change takes hold count from when all was well again.
 */

/** After a disturbance instances may still act on what they knew before, milliseconds. */
const AFTERMATH_MS = 3000

interface Disturbance {
  readonly from: number
  /** Milliseconds of Unix time; Infinity while it lasts. */
  until: number
}

export class Disturbances {
  private readonly known: Disturbance[] = []

  private constructor (private readonly now: () => number) {}

  static create (now: () => number): Disturbances {
    return new Disturbances(now)
  }

  async during (disturb: () => Promise<void>): Promise<void> {
    const disturbance: Disturbance = { from: this.now(), until: Infinity }
    this.known.push(disturbance)
    await disturb()
    disturbance.until = this.now() + AFTERMATH_MS
  }

  /** Whether all was well the whole time, milliseconds of Unix time. */
  wasCalm (from: number, until: number): boolean {
    return this.known.every(disturbance => disturbance.until < from || disturbance.from > until)
  }
}
