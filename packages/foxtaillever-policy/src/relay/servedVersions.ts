/**
 * Software versions whose servers serve a service, or did until a moment ago. What
 * two versions write does not fit together, so a stream must go on at the version that
 * began it. A version counts for a while after its last server is gone, because
 * callers still take up the streams that it began.
 */

/** A caller takes a stream up within its deadline, milliseconds. */
const COUNTED_MS = 30_000

export class ServedVersions {
  /** When each version was last seen, milliseconds of Unix time, by service. */
  private readonly services = new Map<string, Map<string, number>>()

  private constructor () {}

  static create (): ServedVersions {
    return new ServedVersions()
  }

  /** Records versions that served until a moment ago, as another instance knew. */
  recordSeen (service: string, versions: Iterable<string>, now: number): void {
    const seen = this.services.get(service) ?? new Map<string, number>()
    this.services.set(service, seen)
    for (const version of versions) {
      seen.set(version, now)
    }
  }

  /** @param serving versions of the servers that are listed now. */
  recent (service: string, serving: Iterable<string>, now: number): readonly string[] {
    this.recordSeen(service, serving, now)
    const seen = this.services.get(service) ?? new Map<string, number>()
    for (const [version, seenAt] of seen) {
      if (seenAt + COUNTED_MS <= now) {
        seen.delete(version)
      }
    }
    return [...seen.keys()]
  }
}
