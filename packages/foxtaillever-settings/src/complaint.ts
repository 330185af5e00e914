/**
 * What is wrong in a file, where, and how to mend it. Values from the file are
 * quoted only where they cannot be secrets.
 */
import type { Either } from 'purify-ts'

export interface Complaint {
  readonly file: string
  /** From 1. */
  readonly line: number
  /** From 1. */
  readonly column: number
  readonly problem: string
  readonly mend: string
}

/** A complaint before its place in the file is known. */
export interface Finding {
  readonly path: readonly (string | number)[]
  readonly problem: string
  readonly mend: string
}

/** One line, in the form that editors and terminals make a link of. */
export function formatComplaint ({ file, line, column, problem, mend }: Complaint): string {
  return `${file}:${line}:${column}: ${problem} ${mend}`
}

/** A path as a reader of the file would say it. */
export function formatPath (path: readonly (string | number)[]): string {
  return path.reduce<string>((text, step) => text + formatStep(step, text === ''), '') || 'the file'
}

function formatStep (step: string | number, first: boolean): string {
  if (typeof step === 'number') {
    return `[${step}]`
  }
  if (!/^[\w$]+$/.test(step)) {
    return `["${step}"]`
  }
  return first ? step : `.${step}`
}

/** Complaints as lines; none when the file was taken. */
export function linesOf (loaded: Either<readonly Complaint[], unknown>): readonly string[] {
  return loaded.caseOf({ Left: complaints => complaints.map(formatComplaint), Right: () => [] })
}
