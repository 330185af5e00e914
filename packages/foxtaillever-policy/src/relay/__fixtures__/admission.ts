/** Entries and a server for tests of the admission queue. */
import type { AdmissionDecision, AdmissionEntry, AdmissionQueue } from '../admissionQueue.js'
import type { ServerRoom } from '../serverRoom.js'

/** A server that reads 10 tokens a millisecond and gets its next request 100 ms before it would be idle. */
export const idleRoom: ServerRoom = { backlogTokens: 0, heldTokens: 0, outstanding: 0, tokensPerMs: 10, memoryTokens: 0, slots: 32, readAheadMs: 100 }

/** Has as much to read as the read-ahead, so that nothing is admitted. */
export const fullRoom: ServerRoom = { ...idleRoom, backlogTokens: 1000, outstanding: 1 }

/** A request of 1,000 tokens, read in 100 ms, without time limits. */
export function entryOf (key: string, changes: Partial<AdmissionEntry> = {}): AdmissionEntry {
  return { key, account: '', fingerprint: key.length * 1000 + key.charCodeAt(key.length - 1), tokens: 1000, heldTokens: 1000, priority: 0, objectiveAt: Infinity, latestStartAt: Infinity, expiresAt: Infinity, ...changes }
}

export function addAll (queue: AdmissionQueue, entries: readonly AdmissionEntry[], now = 0): void {
  entries.forEach(entry => queue.add(entry, now))
}

export function keysOf (entries: readonly AdmissionEntry[]): string[] {
  return entries.map(({ key }) => key)
}

/** Admits one request after another at an idle server. */
export function admitAll (queue: AdmissionQueue, now = 0, room = idleRoom): string[] {
  const keys: string[] = []
  for (;;) {
    const admitted = keysOf(queue.decide(room, now).admitted)
    if (admitted.length === 0) {
      return keys
    }
    keys.push(...admitted)
  }
}

export function rejectedKeys ({ rejected }: AdmissionDecision): string[] {
  return rejected.map(({ entry }) => entry.key)
}
