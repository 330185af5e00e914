/**
 * Adds a signature in front of a payload, and verifies and removes it. The
 * permission is signed too, so a message signed for joining the fleet is not
 * accepted as an order.
 */
import { Just, Nothing, type Maybe } from 'purify-ts'
import { MAC_BYTES, Permission, type KeyRing } from './keyRing.js'

function signedBytes (permission: Permission, payload: Uint8Array): Buffer {
  return Buffer.concat([Buffer.from(`${permission}\0`), payload])
}

/** Returns the length of the key's id, the id, the signature and the payload. */
export function seal (ring: KeyRing, permission: Permission, payload: Uint8Array): Buffer {
  const { keyId, mac } = ring.sign(permission, signedBytes(permission, payload))
  const id = Buffer.from(keyId)
  return Buffer.concat([Buffer.from([id.length]), id, mac, payload])
}

/** Returns the payload if a key of the ring with the permission signed it. */
export function open (ring: KeyRing, permission: Permission, sealed: Uint8Array): Maybe<Buffer> {
  const bytes = Buffer.from(sealed.buffer, sealed.byteOffset, sealed.byteLength)
  const idEnd = 1 + (bytes[0] ?? 0)
  const macEnd = idEnd + MAC_BYTES
  if (bytes.length < macEnd) {
    return Nothing
  }
  const signature = { keyId: bytes.toString('utf8', 1, idEnd), mac: bytes.subarray(idEnd, macEnd) }
  const payload = bytes.subarray(macEnd)
  return ring.verify(permission, signedBytes(permission, payload), signature) ? Just(payload) : Nothing
}
