/**
 * Reads a file, validates it against its schema and then checks it for
 * contradictions. Reports all errors together, in the order of the file.
 */
import { readFile } from 'node:fs/promises'
import { EitherAsync, Left, Right, type Either } from 'purify-ts'
import type { z } from 'zod'
import type { Diagnostic, Finding } from '../diagnostic.js'
import { describeIssue } from './describeIssue.js'
import { Document } from './document.js'

/** How a kind of file is validated. */
export interface DocumentKind<Content> {
  readonly schema: z.ZodType<Content, z.ZodTypeDef, unknown>
  /** Finds contradictions between parts; called only when the file is valid by its schema. */
  readonly check: (content: Content) => readonly Finding[]
}

function sortByPosition (diagnostics: readonly Diagnostic[]): readonly Diagnostic[] {
  return [...diagnostics].sort((a, b) => a.line - b.line || a.column - b.column)
}

export function parseDocument<Content> (kind: DocumentKind<Content>, file: string, text: string): Either<readonly Diagnostic[], Content> {
  return Document.create(file, text).chain(document => {
    const toDiagnostics = (findings: readonly Finding[]): readonly Diagnostic[] => sortByPosition(findings.map(finding => document.toDiagnostic(finding)))
    const value = document.value()
    const parsed = kind.schema.safeParse(value)
    if (!parsed.success) {
      return Left(toDiagnostics(parsed.error.issues.flatMap(issue => describeIssue(issue, kind.schema, value))))
    }
    const findings = kind.check(parsed.data)
    return findings.length > 0 ? Left(toDiagnostics(findings)) : Right(parsed.data)
  })
}

function describeReadError (file: string, error: unknown): readonly Diagnostic[] {
  const reason = (error as NodeJS.ErrnoException).code ?? String(error)
  return [{ file, line: 1, column: 1, problem: `The file cannot be read: ${reason}.`, mend: 'Check its name and who may read it.' }]
}

export async function loadDocument<Content> (kind: DocumentKind<Content>, file: string): Promise<Either<readonly Diagnostic[], Content>> {
  return await EitherAsync(async () => await readFile(file, 'utf8'))
    .mapLeft(error => describeReadError(file, error))
    .chain(async text => parseDocument(kind, file, text))
}
