/**
 * When the fleet was out of touch during a soak. While the store is out of
 * reach or an instance stands still, nobody can know what changed; the
 * promises on how soon a change takes hold count from when all was well again.
 */

/** After a disturbance instances may still act on what they knew before, milliseconds. */
const AFTERMATH_MS = 3000

interface Disturbance {
  /** Who was out of touch; undefined for all. */
  readonly subject: string | undefined
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

  async during (disturb: () => Promise<void>, subject?: string): Promise<void> {
    const disturbance: Disturbance = { subject, from: this.now(), until: Infinity }
    this.known.push(disturbance)
    await disturb()
    disturbance.until = this.now() + AFTERMATH_MS
  }

  /** Whether all was well the whole time, milliseconds of Unix time; with a subject, whether all was well with that one. */
  wasCalm (from: number, until: number, subject?: string): boolean {
    return this.known
      .filter(disturbance => subject === undefined || (disturbance.subject ?? subject) === subject)
      .every(disturbance => disturbance.until < from || disturbance.from > until)
  }
}
