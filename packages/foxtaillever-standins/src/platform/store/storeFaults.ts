/** Faults of the stand-in store, set at run time for each address of the store. */

export enum StoreMode {
  Up = 'up',
  /** Every call is refused with a status that says that nothing was done. */
  Refusing = 'refusing',
  /** Every connection is reset. */
  Resetting = 'resetting',
  /** Calls are read, never answered and have no effect. */
  Silent = 'silent'
}

/** Faults of appends. */
export enum AppendFault {
  /** The append takes effect; its answer is lost and the connection stays silent. */
  AnswerLost = 'answer-lost',
  /** No answer; the append takes effect later, if its condition still holds. */
  Late = 'late'
}

export interface StoreFaults {
  mode: StoreMode
  /** Added to each answer, milliseconds. */
  slownessMs: number
  /** Each applies to one of the next appends, in order. */
  readonly appends: AppendFault[]
  /** Time from the call of a late append to its effect, milliseconds. */
  lateMs: number
  /** Whether answers state the store's era. */
  sendsEra: boolean
}

/** Longer than the caller's timeout, milliseconds. */
const DEFAULT_LATE_MS = 900

export function createStoreFaults (): StoreFaults {
  return { mode: StoreMode.Up, slownessMs: 0, appends: [], lateMs: DEFAULT_LATE_MS, sendsEra: true }
}
