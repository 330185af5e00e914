/**
 * When a caller created an idempotency key. Claims expire from the log after its
 * retention, so a key must contain its creation time: without it, a feed order
 * sent again a week later would look new and run twice. The time is part of the
 * key, since only there it cannot differ between two attempts.
 */
import { Maybe } from 'purify-ts'

/** RFC 9562: 48 bits of milliseconds, then the version. */
const UUID_VERSION_7 = /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i

/** Milliseconds of Unix time, a hyphen and any text. */
const LEADING_MILLISECONDS = /^(\d{13})-.+$/

function readUuid (key: string): Maybe<number> {
  return Maybe.fromNullable(UUID_VERSION_7.exec(key)).map(match => parseInt(`${match[1]}${match[2]}`, 16))
}

function readLeadingMilliseconds (key: string): Maybe<number> {
  return Maybe.fromNullable(LEADING_MILLISECONDS.exec(key)).map(match => Number(match[1]))
}

/** When the key was created, milliseconds of Unix time; Nothing for a key without a time. */
export function readKeyCreation (key: string): Maybe<number> {
  return readUuid(key).alt(readLeadingMilliseconds(key))
}
