/** Which weights operators named for each model, and since when older ones are replaced. */
import type { NamedWeightsUpdate } from '../peers/peerMessage.js'

/**
 * Age of weights that were learned at a process's start, milliseconds: they may
 * have been named long before, and the ones before them too. Engines with older
 * ones serve for another 2.5 s, in which other instances tell the true age.
 */
const ASSUMED_AGE_MS = 4000

/** Versions remembered besides the newest; engines that far behind have long been excluded. */
const MOST_NAMED = 8

export interface NamedVersion {
  readonly version: number
  /** When it was learned, milliseconds of Unix time. */
  readonly since: number
  /** It was named before the process started; the time is a guess. */
  readonly isAssumed: boolean
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

  /**
   * Returns whether it is news; versions only rise.
   * @param isAssumed it was found in the store at the start, so it was named some time before
   */
  name (model: string, version: number, now: number, isAssumed: boolean): boolean {
    if (version <= (this.newest(model)?.version ?? -1)) {
      return false
    }
    const since = isAssumed ? now - ASSUMED_AGE_MS : now
    this.named.set(model, [...(this.named.get(model) ?? []).slice(-MOST_NAMED), { version, since, isAssumed }])
    return true
  }

  /** What is known, guesses left out: they would make others believe them. */
  ages (now: number): NamedWeightsUpdate[] {
    return [...this.named].flatMap(([model, versions]) =>
      versions.filter(({ isAssumed }) => !isAssumed).map(({ version, since }) => ({ model, version, ageMs: now - since })))
  }

  /** Another instance tells since when it has known a version; the earliest word counts. Returns whether the version is news. */
  observe ({ model, version, ageMs }: NamedWeightsUpdate, now: number): boolean {
    const known = this.named.get(model) ?? []
    const isNews = version > (this.newest(model)?.version ?? -1)
    const same = known.find(named => named.version === version)
    const told = { version, since: now - ageMs, isAssumed: false }
    if (same === undefined || same.isAssumed || told.since < same.since) {
      const merged = [...known.filter(named => named !== same), told].sort((one, other) => one.version - other.version)
      this.named.set(model, merged.slice(-MOST_NAMED - 1))
    }
    return isNews
  }

  newest (model: string): NamedVersion | undefined {
    return this.named.get(model)?.at(-1)
  }

  /** The first version known after the given one. */
  next (model: string, version: number): NamedVersion | undefined {
    return this.named.get(model)?.find(named => named.version > version)
  }

  /**
   * Since when there have been newer weights than the version, milliseconds of
   * Unix time; undefined when there are none. The first newer ones count: were
   * it the newest, versions named in quick succession would excuse any age.
   */
  outdatedSince (model: string, version: number): number | undefined {
    return this.next(model, version)?.since
  }
}
