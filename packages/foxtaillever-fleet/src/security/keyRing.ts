/**
 * The keys by which instances and operators authenticate. Several keys are
 * accepted at once and the first one signs. A key is rotated by adding the new
 * one everywhere, moving it to the front, and then removing the old one; no
 * process restarts.
 */
import { createHash, createHmac, timingSafeEqual } from 'node:crypto'

/** What the holder of a key may do. */
export enum Permission {
  /** Take part in membership and soft state. */
  Join = 'join',
  /** Publish configuration and switch presets. */
  Publish = 'publish',
  /** Give orders to backend servers. */
  Order = 'order'
}

export interface Key {
  /** Short public name, sent with each message. */
  readonly id: string
  readonly secret: string
  readonly permissions: readonly Permission[]
}

/** A signature with the id of its key. */
export interface Signature {
  readonly keyId: string
  readonly mac: Buffer
}

/** Half of SHA-256's output; enough, since signed messages are valid only for seconds. */
export const MAC_BYTES = 16

/** Minimum length of a secret, characters; shorter ones could be guessed by brute force. */
const MIN_SECRET_LENGTH = 16

function macOf (secret: string, bytes: Uint8Array): Buffer {
  return createHmac('sha256', secret).update(bytes).digest().subarray(0, MAC_BYTES)
}

/** Compares digests in constant time, so that neither time nor length reveals how much matched. */
function isEqualSecret (a: string, b: string): boolean {
  return timingSafeEqual(createHash('sha256').update(a).digest(), createHash('sha256').update(b).digest())
}

export class KeyRing {
  private constructor (private keys: readonly Key[]) {}

  /** @param keys the first key that has a permission signs for it. */
  static create (keys: readonly Key[]): KeyRing {
    validateKeys(keys)
    return new KeyRing(keys)
  }

  /** Puts new keys in force at once. */
  replace (keys: readonly Key[]): void {
    validateKeys(keys)
    this.keys = keys
  }

  sign (permission: Permission, bytes: Uint8Array): Signature {
    const key = this.keys.find(candidate => candidate.permissions.includes(permission))
    if (key === undefined) {
      throw new Error(`No key has the permission "${permission}".`)
    }
    return { keyId: key.id, mac: macOf(key.secret, bytes) }
  }

  verify (permission: Permission, bytes: Uint8Array, signature: Signature): boolean {
    const key = this.keys.find(candidate => candidate.id === signature.keyId && candidate.permissions.includes(permission))
    if (key === undefined || signature.mac.length !== MAC_BYTES) {
      return false
    }
    return timingSafeEqual(macOf(key.secret, bytes), signature.mac)
  }

  /** Whether a secret, sent in plain text over a protected connection, has the permission. */
  allows (permission: Permission, secret: string): boolean {
    // Every key is compared, so that the time taken does not reveal which one matched.
    return this.keys.reduce((allowed, key) => {
      const matches = isEqualSecret(key.secret, secret)
      return (matches && key.permissions.includes(permission)) || allowed
    }, false)
  }
}

function validateKeys (keys: readonly Key[]): void {
  const ids = new Set(keys.map(key => key.id))
  if (ids.size !== keys.length) {
    throw new Error('Two keys have the same id.')
  }
  if (keys.some(key => key.secret.length < MIN_SECRET_LENGTH)) {
    throw new Error(`A key's secret is shorter than ${MIN_SECRET_LENGTH} characters.`)
  }
}
