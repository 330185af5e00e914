/** Commands of the measuring thread to the threads that host members, and their results. */
import type { ListedInstance, LogRecord } from 'foxtaillever-core'

export enum HostCommandKind {
  Start = 'start',
  List = 'list',
  Append = 'append',
  SetLog = 'set-log',
  Crash = 'crash',
  Restart = 'restart',
  Cut = 'cut',
  Share = 'share',
  Watch = 'watch',
  Sample = 'sample',
  Stop = 'stop'
}

export interface MemberPlan {
  readonly name: string
  readonly failureDomain: string
}

export type HostCommand =
  | { readonly kind: HostCommandKind.Start, readonly plans: readonly MemberPlan[] }
  | { readonly kind: HostCommandKind.List, readonly listed: readonly ListedInstance[] }
  /** @remarks with `only`, just that member folds the record, as if the log went down right after it read the record. */
  | { readonly kind: HostCommandKind.Append, readonly record: LogRecord, readonly only?: string }
  | { readonly kind: HostCommandKind.SetLog, readonly down: boolean }
  | { readonly kind: HostCommandKind.Crash, readonly names: readonly string[] }
  /** Stops the members gracefully and starts them again under their names with a suffix. */
  | { readonly kind: HostCommandKind.Restart, readonly names: readonly string[], readonly suffix: string }
  /** Group of each address; datagrams and calls between groups are lost. */
  | { readonly kind: HostCommandKind.Cut, readonly groups: Readonly<Record<string, number>> }
  /** Each member shares this number of facts in each period; 0 stops. */
  | { readonly kind: HostCommandKind.Share, readonly facts: number, readonly periodMs: number }
  /** Each member records when none of the names is among its members any more. */
  | { readonly kind: HostCommandKind.Watch, readonly names: readonly string[] }
  /** @remarks a garbage collection before the sample takes time, so it is optional. */
  | { readonly kind: HostCommandKind.Sample, readonly collect: boolean }
  | { readonly kind: HostCommandKind.Stop }

/** A started member with its addresses. */
export interface StartedMember {
  readonly name: string
  readonly address: string
  readonly controlAddress: string
  readonly failureDomain: string
}

/** Counters and state of one member. */
export interface MemberSample {
  readonly name: string
  readonly sentBytes: number
  readonly receivedBytes: number
  /** Answers of other members' procedures, bytes. */
  readonly peerBytes: number
  readonly rumours: number
  readonly membersHash: string
  readonly members: number
  readonly revision: number
  /** Milliseconds of Unix time. */
  readonly revisionAt: number
  /** When the last watched name was removed from the members, milliseconds of Unix time; 0 for not yet. */
  readonly goneAt: number
  readonly facts: number
  readonly pulled: number
  readonly synced: number
}

export interface HostSample {
  readonly members: readonly MemberSample[]
  /** Heap of the hosting thread after a collection, bytes. */
  readonly heapBytes: number
}

export interface HostResult {
  readonly started?: readonly StartedMember[]
  readonly sample?: HostSample
}

/** A command and, under the same number, its result. */
export interface CommandMessage { readonly number: number, readonly command: HostCommand }
export interface ResultMessage { readonly number: number, readonly result: HostResult }
