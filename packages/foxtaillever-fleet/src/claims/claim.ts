/**
 * What stands in the log about non-idempotent requests: claims, made before
 * the first byte leaves, and outcomes, written when the owner knows them.
 */
import { Verdict } from 'foxtaillever-core'
import { Maybe } from 'purify-ts'
import { z } from 'zod'

/** One request's wish to be the only one that runs under its key. */
export interface Claim {
  /** Client account and idempotency key, joined by `claimKey`. */
  readonly key: string
  readonly requestId: string
  /** Digest of the body, so that another request under the same key is refused. */
  readonly digest: string
  /** When the caller made the key, milliseconds of Unix time on the caller's clock. */
  readonly createdAt: number
}

/** How a claimed request ended, as its owner knows it. */
export interface Outcome {
  readonly key: string
  readonly requestId: string
  /** Offset of the claim that it settles. */
  readonly claimOffset: number
  /** NotRun gives the key free again; the others keep it taken. */
  readonly verdict: Verdict
}

/** Body of a claims record and of an outcomes record; the latter has no claims. */
export interface ClaimsRecord {
  readonly instance: string
  /** Drawn anew at each start of the instance. */
  readonly incarnation: string
  readonly claims: readonly Claim[]
  readonly outcomes: readonly Outcome[]
}

/** What the fold made of one claim. */
export enum ClaimDecision {
  /** The first under its key; its owner may send. */
  Won = 'won',
  /** Another claim stands under the key. */
  Lost = 'lost',
  /** Another claim stands under the key, with another body. */
  KeyReused = 'key-reused',
  /** The key is so old that a claim under it may have left the log. */
  Expired = 'expired',
  /** The key is dated later than the platform's clock allows. */
  Ahead = 'ahead'
}

/** The claim that holds a key. */
export interface StandingClaim {
  readonly claim: Claim
  readonly offset: number
  readonly instance: string
  readonly incarnation: string
  /** The platform's clock, milliseconds of Unix time. */
  readonly appendedAt: number
  /** Undefined while the owner has not told; may then stay so for ever. */
  readonly verdict: Verdict | undefined
}

export interface DecidedClaim {
  readonly claim: Claim
  readonly offset: number
  readonly decision: ClaimDecision
  /** The claim that now holds the key, if any. */
  readonly standing: StandingClaim | undefined
}

/** Keys of different client accounts never meet. */
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
 * Checks a record's body. A malformed one is passed over by every reader alike;
 * without the check it would stop each instance that reads the log.
 */
export function readClaimsRecord (body: unknown): Maybe<ClaimsRecord> {
  const parsed = claimsRecord.safeParse(body)
  return Maybe.fromNullable(parsed.data)
}
