/** Weight versions that operators named for each model, and when each replaced the ones before it. */
import type { NamedWeightsUpdate } from '../peers/peerMessage.js'

/**
 * Assumed age of weights that were read from the store at the start, milliseconds:
 * they, and the version before them, may have been named long ago. Engines with older
 * weights serve for another 2.5 s, in which other instances announce the true age.
 */
const ASSUMED_AGE_MS = 4000

/** Versions kept besides the newest; engines further behind have long been excluded. */
const MAX_OLDER_VERSIONS = 8

export interface NamedVersion {
  readonly version: number
  /** When the version was learned, milliseconds of Unix time. */
  readonly since: number
  /** The version was named before the process started, so the time is a guess. */
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
   * Adds a version that operators named; returns whether it is new. Versions only rise.
   * @param isAssumed the version was found in the store at the start, so it was named some time before
   */
  addVersion (model: string, version: number, now: number, isAssumed: boolean): boolean {
    if (version <= (this.newest(model)?.version ?? -1)) {
      return false
    }
    const since = isAssumed ? now - ASSUMED_AGE_MS : now
    this.named.set(model, [...(this.named.get(model) ?? []).slice(-MAX_OLDER_VERSIONS), { version, since, isAssumed }])
    return true
  }

  /** Ages of the known versions to announce, without guesses, which other instances would take for facts. */
  versionAges (now: number): NamedWeightsUpdate[] {
    return [...this.named].flatMap(([model, versions]) =>
      versions.filter(({ isAssumed }) => !isAssumed).map(({ version, since }) => ({ model, version, ageMs: now - since })))
  }

  /** Merges a version that another instance announced with its age; the earliest time counts. Returns whether the version is new. */
  mergeVersion ({ model, version, ageMs }: NamedWeightsUpdate, now: number): boolean {
    const known = this.named.get(model) ?? []
    const isNew = version > (this.newest(model)?.version ?? -1)
    const same = known.find(named => named.version === version)
    const announced = { version, since: now - ageMs, isAssumed: false }
    if (same === undefined || same.isAssumed || announced.since < same.since) {
      const merged = [...known.filter(named => named !== same), announced].sort((a, b) => a.version - b.version)
      this.named.set(model, merged.slice(-MAX_OLDER_VERSIONS - 1))
    }
    return isNew
  }

  newest (model: string): NamedVersion | undefined {
    return this.named.get(model)?.at(-1)
  }

  /** The first version known after the given one. */
  next (model: string, version: number): NamedVersion | undefined {
    return this.named.get(model)?.find(named => named.version > version)
  }

  /**
   * When the version was replaced by a newer one, milliseconds of Unix time;
   * undefined if it is the newest. The first newer version counts: with the newest,
   * versions named in quick succession would excuse any age.
   */
  outdatedSince (model: string, version: number): number | undefined {
    return this.next(model, version)?.since
  }
}
