/**
 * Authenticates operators at the control port. Tokens are compared by digest and
 * in constant time: the duration of a comparison that stops at the first wrong
 * digit would show an attacker how much of a token is right.
 */
import { createHash, timingSafeEqual } from 'node:crypto'

export interface OperatorTokens {
  readonly name: string
  /** SHA-256 of each token in force, hexadecimal. */
  readonly tokenDigests: readonly string[]
}

interface TokenEntry {
  readonly name: string
  readonly digest: Buffer
}

const BEARER = /^Bearer (\S+)$/

export class Operators {
  private constructor (private readonly entries: readonly TokenEntry[]) {}

  static create (operators: readonly OperatorTokens[]): Operators {
    return new Operators(operators.flatMap(({ name, tokenDigests }) => tokenDigests.map(digest => ({ name, digest: Buffer.from(digest, 'hex') }))))
  }

  /** Returns the name of the operator whose token an Authorization header holds; empty when unknown. */
  authenticate (header: string | undefined): string {
    const token = BEARER.exec(header ?? '')?.[1] ?? ''
    const digest = createHash('sha256').update(token).digest()
    let name = ''
    // Compares every entry, also after a match, so that the time stays constant.
    for (const entry of this.entries) {
      const isMatch = timingSafeEqual(entry.digest, digest)
      name = isMatch ? entry.name : name
    }
    return name
  }
}
