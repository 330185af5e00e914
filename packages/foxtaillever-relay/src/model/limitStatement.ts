/** The rate limit that a server states in an answer; it applies to all instances together. */

export enum LimitStatementKind {
  Limit = 'limit',
  None = 'none',
  /** A text that is not a valid rate. */
  Unreadable = 'unreadable'
}

export type LimitStatement =
  | { readonly kind: LimitStatementKind.Limit, readonly perSecond: number }
  | { readonly kind: LimitStatementKind.None }
  | { readonly kind: LimitStatementKind.Unreadable, readonly text: string }

/** Also used for servers whose protocol has no such limit. */
export const noLimit: LimitStatement = { kind: LimitStatementKind.None }
