/**
 * Reads a file, checks it against its schema and then against itself. All that
 * is wrong is told at once, in the order of the file.
 */
import { readFile } from 'node:fs/promises'
import { EitherAsync, Left, Right, type Either } from 'purify-ts'
import type { z } from 'zod'
import type { Complaint, Finding } from '../complaint.js'
import { describeIssue } from './describeIssue.js'
import { Document } from './document.js'

/** A kind of file. */
export interface DocumentKind<Content> {
  readonly schema: z.ZodType<Content, z.ZodTypeDef, unknown>
  /** Contradictions between parts; asked only when each part is right by itself. */
  readonly check: (content: Content) => readonly Finding[]
}

function inOrder (complaints: readonly Complaint[]): readonly Complaint[] {
  return [...complaints].sort((a, b) => a.line - b.line || a.column - b.column)
}

export function parseDocument<Content> (kind: DocumentKind<Content>, file: string, text: string): Either<readonly Complaint[], Content> {
  return Document.create(file, text).chain(document => {
    const complain = (findings: readonly Finding[]): readonly Complaint[] => inOrder(findings.map(finding => document.complain(finding)))
    const value = document.value()
    const parsed = kind.schema.safeParse(value)
    if (!parsed.success) {
      return Left(complain(parsed.error.issues.flatMap(issue => describeIssue(issue, kind.schema, value))))
    }
    const findings = kind.check(parsed.data)
    return findings.length > 0 ? Left(complain(findings)) : Right(parsed.data)
  })
}

function unreadable (file: string, error: unknown): readonly Complaint[] {
  const reason = (error as NodeJS.ErrnoException).code ?? String(error)
  return [{ file, line: 1, column: 1, problem: `The file cannot be read: ${reason}.`, mend: 'Check its name and who may read it.' }]
}

export async function loadDocument<Content> (kind: DocumentKind<Content>, file: string): Promise<Either<readonly Complaint[], Content>> {
  return await EitherAsync(async () => await readFile(file, 'utf8'))
    .mapLeft(error => unreadable(file, error))
    .chain(async text => parseDocument(kind, file, text))
}
