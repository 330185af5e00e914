/**
 * Errors in a file, with their position and how to fix them. Values from the file
 * are quoted only where they cannot be secrets.
 */
import type { Either } from 'purify-ts'

export interface Diagnostic {
  readonly file: string
  /** From 1. */
  readonly line: number
  /** From 1. */
  readonly column: number
  readonly problem: string
  readonly mend: string
}

/** A diagnostic without its position in the file. */
export interface Finding {
  readonly path: readonly (string | number)[]
  readonly problem: string
  readonly mend: string
}

/** One line, in the format that editors and terminals turn into a link. */
export function formatDiagnostic ({ file, line, column, problem, mend }: Diagnostic): string {
  return `${file}:${line}:${column}: ${problem} ${mend}`
}

/** A path in the notation of JavaScript. */
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

/** Formats the errors of a load, one per line; empty when the file is valid. */
export function formatErrors (loaded: Either<readonly Diagnostic[], unknown>): readonly string[] {
  return loaded.caseOf({ Left: diagnostics => diagnostics.map(formatDiagnostic), Right: () => [] })
}
