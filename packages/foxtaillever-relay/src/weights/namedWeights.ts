/** Which weights operators named for each model, and since when older ones are replaced. */

/** Versions remembered besides the newest; engines that far behind have long been excluded. */
const MOST_NAMED = 8

export interface NamedVersion {
  readonly version: number
  /** When it was learned, milliseconds of Unix time. */
  readonly since: number
}

export class NamedWeights {
  /** Versions of each model in the order in which they were named. */
  private readonly named = new Map<string, readonly NamedVersion[]>()

  private constructor () {}

  static create (): NamedWeights {
    return new NamedWeights()
  }

  get models (): readonly string[] {
    return [...this.named.keys()]
  }

  /** Returns whether it is news; versions only rise. */
  name (model: string, version: number, now: number): boolean {
    if (version <= (this.newest(model)?.version ?? -1)) {
      return false
    }
    this.named.set(model, [...(this.named.get(model) ?? []).slice(-MOST_NAMED), { version, since: now }])
    return true
  }

  newest (model: string): NamedVersion | undefined {
    return this.named.get(model)?.at(-1)
  }

  /**
   * Since when there have been newer weights than the version, milliseconds of
   * Unix time; undefined when there are none. The first newer ones count: were
   * it the newest, versions named in quick succession would excuse any age.
   */
  outdatedSince (model: string, version: number): number | undefined {
    return this.named.get(model)?.find(named => named.version > version)?.since
  }
}
