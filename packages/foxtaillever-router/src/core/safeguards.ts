/**
 * Safeguards that a test build may switch off to see that the proof notices.
 * The binaries know no setting for this; only tests pass another table.
 */
export enum Safeguard {
  /** A non-idempotent request is claimed in the log before its first byte. */
  ClaimBeforeSend = 'claim-before-send',
  /** Streams are taken up again only at the same incarnation, and with the same weights. */
  IncarnationCheck = 'incarnation-check',
  /** Repeated events are dropped and gaps never passed on. */
  SequenceCheck = 'sequence-check',
  /** A lease's holder stops a margin before the end. */
  FencingMargin = 'fencing-margin',
  /** A backend server's own word that it is leaving counts before the list's. */
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
