/**
 * What the measuring thread asks of the threads that host members.
 */
import type { ListedInstance, LogRecord } from 'foxtaillever-core'

export enum OrderKind {
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

export type Order =
  | { readonly kind: OrderKind.Start, readonly plans: readonly MemberPlan[] }
  | { readonly kind: OrderKind.List, readonly listed: readonly ListedInstance[] }
  /** @remarks with `only`, one member alone folds the record, as if the log went down right after. */
  | { readonly kind: OrderKind.Append, readonly record: LogRecord, readonly only?: string }
  | { readonly kind: OrderKind.SetLog, readonly down: boolean }
  | { readonly kind: OrderKind.Crash, readonly names: readonly string[] }
  /** Leaves gracefully and starts anew under the name with a suffix. */
  | { readonly kind: OrderKind.Restart, readonly names: readonly string[], readonly suffix: string }
  /** Group of each address; datagrams and calls between groups are lost. */
  | { readonly kind: OrderKind.Cut, readonly groups: Readonly<Record<string, number>> }
  /** Each member shares so many facts in each period; 0 stops. */
  | { readonly kind: OrderKind.Share, readonly facts: number, readonly periodMs: number }
  /** Notes when each member no longer counts the names as alive. */
  | { readonly kind: OrderKind.Watch, readonly names: readonly string[] }
  /** @remarks a collection of garbage first costs time, so it is asked for. */
  | { readonly kind: OrderKind.Sample, readonly collect: boolean }
  | { readonly kind: OrderKind.Stop }

/** Where one member can be reached. */
export interface Started {
  readonly name: string
  readonly address: string
  readonly controlAddress: string
  readonly failureDomain: string
}

/** What one member says of itself. */
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
  /** When the last watched name was gone from the members; 0 for not yet. */
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

export interface OrderResult {
  readonly started?: readonly Started[]
  readonly sample?: HostSample
}

/** An order on its way, and its answer. */
export interface OrderMessage { readonly number: number, readonly order: Order }
export interface ResultMessage { readonly number: number, readonly result: OrderResult }
