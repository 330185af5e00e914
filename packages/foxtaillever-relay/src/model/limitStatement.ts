/** What an answer states of the rate that its server takes from all instances together. */

export enum LimitStatementKind {
  Limit = 'limit',
  None = 'none',
  /** Not a number that could be a rate. */
  Unreadable = 'unreadable'
}

export type LimitStatement =
  | { readonly kind: LimitStatementKind.Limit, readonly perSecond: number }
  | { readonly kind: LimitStatementKind.None }
  | { readonly kind: LimitStatementKind.Unreadable, readonly text: string }

/** Of servers whose protocol knows no such limit, too. */
export const noLimit: LimitStatement = { kind: LimitStatementKind.None }
