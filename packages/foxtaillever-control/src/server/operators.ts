/**
 * Who may use the control port. Tokens are compared by digest and in constant
 * time: a comparison that stops at the first wrong digit would tell an
 * attacker, by how long it takes, how much of a token is right.
 */
import { createHash, timingSafeEqual } from 'node:crypto'

export interface OperatorTokens {
  readonly name: string
  /** SHA-256 of each token in force, hexadecimal. */
  readonly tokenDigests: readonly string[]
}

interface Entry {
  readonly name: string
  readonly digest: Buffer
}

const BEARER = /^Bearer (\S+)$/

export class Operators {
  private constructor (private readonly entries: readonly Entry[]) {}

  static create (operators: readonly OperatorTokens[]): Operators {
    return new Operators(operators.flatMap(({ name, tokenDigests }) => tokenDigests.map(digest => ({ name, digest: Buffer.from(digest, 'hex') }))))
  }

  /** The operator's name, from an Authorization header; empty when unknown. */
  authenticate (header: string | undefined): string {
    const token = BEARER.exec(header ?? '')?.[1] ?? ''
    const digest = createHash('sha256').update(token).digest()
    let name = ''
    // Every entry is compared, whichever matches.
    for (const entry of this.entries) {
      const same = timingSafeEqual(entry.digest, digest)
      name = same ? entry.name : name
    }
    return name
  }
}
