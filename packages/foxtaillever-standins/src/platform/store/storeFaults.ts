/** Faults of the stand-in store, switched at run time; each address of the store has its own. */

export enum StoreMode {
  Up = 'up',
  /** Every call is refused with word that nothing was done. */
  Refusing = 'refusing',
  /** Every connection is reset. */
  Resetting = 'resetting',
  /** Calls are taken and never answered; they have no effect. */
  Silent = 'silent'
}

/** What becomes of the next appends. */
export enum AppendFault {
  /** Carried out; the answer is lost and the connection says nothing more. */
  AnswerLost = 'answer-lost',
  /** No answer; carried out later, if the condition still holds. */
  Late = 'late'
}

export interface StoreFaults {
  mode: StoreMode
  /** Added to each answer, milliseconds. */
  slownessMs: number
  /** Taken by one append each, the first first. */
  readonly appends: AppendFault[]
  /** When a late append is carried out after its call, milliseconds. */
  lateMs: number
  /** Answers name the store's era. */
  namesEra: boolean
}

/** Long enough that the caller has given up on the answer, milliseconds. */
const DEFAULT_LATE_MS = 900

export function createStoreFaults (): StoreFaults {
  return { mode: StoreMode.Up, slownessMs: 0, appends: [], lateMs: DEFAULT_LATE_MS, namesEra: true }
}
