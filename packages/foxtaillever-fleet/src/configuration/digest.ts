/**
 * A digest of the configuration that does not depend on the order in which keys
 * were inserted. Two instances with the same revision and different digests have
 * diverged, which only a fault can cause.
 */
import { createHash } from 'node:crypto'
import type { Configuration } from 'foxtaillever-core'

/** JSON with the keys of every object sorted and undefined values left out. */
export function canonicalJson (value: unknown): string {
  if (Array.isArray(value)) {
    return `[${value.map(canonicalJson).join(',')}]`
  }
  if (value === null || typeof value !== 'object') {
    return JSON.stringify(value) ?? 'null'
  }
  const entries = value as Record<string, unknown>
  const fields = Object.keys(entries)
    .filter(key => entries[key] !== undefined)
    .sort()
    .map(key => `${JSON.stringify(key)}:${canonicalJson(entries[key])}`)
  return `{${fields.join(',')}}`
}

function sha256 (text: string): string {
  return createHash('sha256').update(text).digest('hex')
}

/**
 * Digests of single entries. Entries are never changed in place, so the digests
 * of unchanged entries stay valid. Without this cache, a change of one of 1,700
 * accounts would block the event loop for milliseconds.
 */
const entryDigests = new WeakMap<object, string>()

function digestOfEntry (entry: object): string {
  const known = entryDigests.get(entry)
  if (known !== undefined) {
    return known
  }
  const digest = sha256(canonicalJson(entry))
  entryDigests.set(entry, digest)
  return digest
}

function linesOf (title: string, entries: Readonly<Record<string, object>>): readonly string[] {
  return Object.keys(entries)
    .sort()
    .map(name => `${title} ${JSON.stringify(name)} ${digestOfEntry(entries[name]!)}`)
}

/** SHA-256 of the revision, all entries and the preset in force, in hexadecimal. */
export function digestOf (configuration: Configuration): string {
  const lines = [
    `revision ${configuration.revision}`,
    `preset ${configuration.presetInForce}`,
    ...linesOf('account', configuration.accounts),
    ...linesOf('server', configuration.servers),
    ...linesOf('model', configuration.models),
    ...linesOf('service', configuration.services),
    ...linesOf('preset', configuration.presets)
  ]
  return sha256(lines.join('\n'))
}
