/**
 * Log records about non-idempotent requests: claims, appended before the first
 * byte is sent, and outcomes, appended when the owner of the claim knows them.
 */
import { Verdict } from 'foxtaillever-core'
import { Maybe } from 'purify-ts'
import { z } from 'zod'

/** Reserves an idempotency key for one request, so that no other request runs under it. */
export interface Claim {
  /** Client account and idempotency key, joined by `claimKey`. */
  readonly key: string
  readonly requestId: string
  /** Digest of the body, so that a request with another body under the same key is refused. */
  readonly digest: string
  /** When the caller created the key, milliseconds of Unix time on the caller's clock. */
  readonly createdAt: number
}

/** How a claimed request ended, as reported by the instance that owns the claim. */
export interface Outcome {
  readonly key: string
  readonly requestId: string
  /** Log offset of the claim that this outcome belongs to. */
  readonly claimOffset: number
  /** NotRun releases the key; every other verdict keeps it taken. */
  readonly verdict: Verdict
}

/** Body of a claims record or an outcomes record; the latter has no claims. */
export interface ClaimsRecord {
  readonly instance: string
  /** New at each start of the instance. */
  readonly incarnation: string
  readonly claims: readonly Claim[]
  readonly outcomes: readonly Outcome[]
}

/** How the fold decided on one claim. */
export enum ClaimDecision {
  /** The first claim under its key; its owner may send the request. */
  Won = 'won',
  /** Another claim holds the key. */
  Lost = 'lost',
  /** Another claim holds the key, for a request with another body. */
  KeyReused = 'key-reused',
  /** The key is so old that an earlier claim under it may have expired from the log. */
  Expired = 'expired',
  /** The key's creation time is too far ahead of the platform's clock. */
  Ahead = 'ahead'
}

/** The claim that holds a key. */
export interface StandingClaim {
  readonly claim: Claim
  readonly offset: number
  readonly instance: string
  readonly incarnation: string
  /** Milliseconds of Unix time on the platform's clock. */
  readonly appendedAt: number
  /** Undefined until the owner reports an outcome; stays undefined if the owner dies first. */
  readonly verdict: Verdict | undefined
}

export interface DecidedClaim {
  readonly claim: Claim
  readonly offset: number
  readonly decision: ClaimDecision
  /** The claim that holds the key after this decision, if any. */
  readonly standing: StandingClaim | undefined
}

/** Joins account and key, so that equal keys of different client accounts do not collide. */
export function claimKey (account: string, idempotencyKey: string): string {
  return JSON.stringify([account, idempotencyKey])
}

const claimsRecord = z.object({
  instance: z.string(),
  incarnation: z.string(),
  claims: z.array(z.object({ key: z.string(), requestId: z.string(), digest: z.string(), createdAt: z.number() })),
  outcomes: z.array(z.object({ key: z.string(), requestId: z.string(), claimOffset: z.number(), verdict: z.nativeEnum(Verdict) }))
})

/**
 * Validates a record's body. Every reader skips a malformed record; without the
 * check it would crash each instance that reads the log.
 */
export function readClaimsRecord (body: unknown): Maybe<ClaimsRecord> {
  const parsed = claimsRecord.safeParse(body)
  return Maybe.fromNullable(parsed.data)
}
