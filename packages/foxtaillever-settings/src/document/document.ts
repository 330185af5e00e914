/**
 * A parsed file of JSON with comments that knows the line and column of each
 * value.
 */
import { findNodeAtLocation, parseTree, printParseErrorCode, getNodeValue, type Node, type ParseError } from 'jsonc-parser'
import { Either, Left, Right } from 'purify-ts'
import { formatPath, type Diagnostic, type Finding } from '../diagnostic.js'

export class Document {
  private constructor (readonly file: string, private readonly text: string, private readonly root: Node) {}

  /** Parses a file. A repeated key is an error too, since one of its values would be lost silently. */
  static create (file: string, text: string): Either<readonly Diagnostic[], Document> {
    const errors: ParseError[] = []
    const root = parseTree(text, errors, { allowTrailingComma: true })
    // Later errors are mostly consequences of the first.
    const error = errors[0]
    if (error || !root) {
      return Left([error ? describeParseError(file, text, error) : describeEmptyFile(file)])
    }
    const document = new Document(file, text, root)
    const repeated = findRepeatedKeys(root, [])
    return repeated.length > 0 ? Left(repeated.map(repeat => document.createDiagnostic(repeat.node, repeat.finding))) : Right(document)
  }

  value (): unknown {
    return getNodeValue(this.root)
  }

  /** Adds the position to a finding: that of its value, or of the nearest enclosing object. */
  toDiagnostic (finding: Finding): Diagnostic {
    return this.createDiagnostic(this.findNode(finding.path), finding)
  }

  private findNode (path: readonly (string | number)[]): Node {
    const node = findNodeAtLocation(this.root, [...path])
    if (node) {
      const isProperty = node.parent?.type === 'property'
      return isProperty ? node.parent as Node : node
    }
    return path.length === 0 ? this.root : this.findNode(path.slice(0, -1))
  }

  private createDiagnostic (node: Node, { problem, mend }: Finding): Diagnostic {
    return { file: this.file, ...positionOf(this.text, node.offset), problem, mend }
  }
}

function positionOf (text: string, offset: number): { readonly line: number, readonly column: number } {
  const before = text.slice(0, offset)
  const lineStart = before.lastIndexOf('\n') + 1
  return { line: before.split('\n').length, column: offset - lineStart + 1 }
}

function describeParseError (file: string, text: string, error: ParseError): Diagnostic {
  const name = printParseErrorCode(error.error).replace(/([a-z])([A-Z])/g, '$1 $2').toLowerCase()
  return { file, ...positionOf(text, error.offset), problem: `This is not JSON with comments: ${name}.`, mend: 'Check commas, quotes and brackets just before this place.' }
}

function describeEmptyFile (file: string): Diagnostic {
  return { file, line: 1, column: 1, problem: 'The file is empty.', mend: 'Start from an example of the same kind.' }
}

interface RepeatedKey {
  readonly node: Node
  readonly finding: Finding
}

function findRepeatedKeys (node: Node, path: readonly (string | number)[]): readonly RepeatedKey[] {
  const children = node.children ?? []
  if (node.type === 'array') {
    return children.flatMap((child, index) => findRepeatedKeys(child, [...path, index]))
  }
  const seen = new Set<string>()
  return children.flatMap(property => {
    const [key, value] = property.children ?? []
    if (node.type !== 'object' || !key || !value) {
      return []
    }
    const keyPath = [...path, key.value as string]
    const repeat = seen.has(key.value) ? [{ node: key, finding: describeRepeatedKey(keyPath) }] : []
    seen.add(key.value)
    return [...repeat, ...findRepeatedKeys(value, keyPath)]
  })
}

function describeRepeatedKey (path: readonly (string | number)[]): Finding {
  return { path, problem: `${formatPath(path)} is written twice.`, mend: 'Keep one of the two.' }
}
