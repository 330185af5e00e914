/**
 * Safeguards that tests switch off to verify that the proof detects their
 * absence. There is no setting for this; only tests pass another table.
 */
export enum Safeguard {
  /** A non-idempotent request is claimed in the log before its first byte. */
  ClaimBeforeSend = 'claim-before-send',
  /** Streams are resumed only at the same incarnation and with the same weights. */
  IncarnationCheck = 'incarnation-check',
  /** Repeated events are dropped, and nothing is passed on after a gap. */
  SequenceCheck = 'sequence-check',
  /** A lease's holder stops using it a margin before it expires. */
  FencingMargin = 'fencing-margin',
  /** A backend server's own report that it is leaving overrides the instance list. */
  AtOnceDrain = 'at-once-drain'
}

export type Safeguards = Readonly<Record<Safeguard, boolean>>

export const allSafeguards: Safeguards = {
  [Safeguard.ClaimBeforeSend]: true,
  [Safeguard.IncarnationCheck]: true,
  [Safeguard.SequenceCheck]: true,
  [Safeguard.FencingMargin]: true,
  [Safeguard.AtOnceDrain]: true
}
