/**
 * Opaque tokens with which a caller resumes its stream through any instance. A
 * token names backend server, incarnation, account and stream. It is signed with
 * the key that instances share, so that nobody can forge one for another
 * account's stream.
 */
import { EnginePath } from 'foxtaillever-core'
import { MAC_BYTES, Permission, type KeyRing } from 'foxtaillever-fleet'
import { Maybe } from 'purify-ts'
import { z } from 'zod'
import type { StreamPosition } from '../core/request.js'
import type { CompletionPath } from './readSubmission.js'

export interface StreamTokenPayload {
  readonly account: string
  readonly model: string
  readonly path: CompletionPath
  readonly position: StreamPosition
}

/** Prefix of the signed bytes, so that a signature made for another purpose is never valid for a token. */
const PURPOSE = 'stream-token\0'

const MAX_TOKEN_LENGTH = 2048

const payloadSchema = z.object({
  account: z.string(),
  model: z.string(),
  path: z.union([z.literal(EnginePath.Completions), z.literal(EnginePath.ChatCompletions)]),
  position: z.object({
    server: z.string(),
    incarnation: z.string(),
    weightsVersion: z.string(),
    streamId: z.string(),
    requestId: z.string(),
    after: z.number().int().min(0)
  })
})

function signedBytes (body: string): Buffer {
  return Buffer.from(PURPOSE + body)
}

export class StreamTokens {
  private constructor (private readonly keys: KeyRing) {}

  static create (keys: KeyRing): StreamTokens {
    return new StreamTokens(keys)
  }

  issue (payload: StreamTokenPayload): string {
    const body = Buffer.from(JSON.stringify(payload)).toString('base64url')
    const { keyId, mac } = this.keys.sign(Permission.Join, signedBytes(body))
    return `${body}.${Buffer.from(keyId).toString('base64url')}.${mac.toString('base64url')}`
  }

  /** Returns Nothing for a token that no instance issued, or that was changed. */
  read (token: string): Maybe<StreamTokenPayload> {
    const [body = '', keyId = '', mac = '', ...rest] = token.split('.')
    const signature = { keyId: Buffer.from(keyId, 'base64url').toString(), mac: Buffer.from(mac, 'base64url') }
    const isWellFormed = token.length <= MAX_TOKEN_LENGTH && rest.length === 0 && signature.mac.length === MAC_BYTES
    if (!isWellFormed || !this.keys.verify(Permission.Join, signedBytes(body), signature)) {
      return Maybe.empty()
    }
    return Maybe.encase(() => JSON.parse(Buffer.from(body, 'base64url').toString()) as unknown)
      .chain(parsed => Maybe.fromNullable(payloadSchema.safeParse(parsed).data))
  }
}
