/**
 * A file of JSON with comments, parsed so that each value can be found again by
 * line and column.
 */
import { findNodeAtLocation, parseTree, printParseErrorCode, getNodeValue, type Node, type ParseError } from 'jsonc-parser'
import { Either, Left, Right } from 'purify-ts'
import { formatPath, type Complaint, type Finding } from '../complaint.js'

export class Document {
  private constructor (readonly file: string, private readonly text: string, private readonly root: Node) {}

  /** Parses; a key written twice is an error too, since one of its values would be lost without a word. */
  static create (file: string, text: string): Either<readonly Complaint[], Document> {
    const errors: ParseError[] = []
    const root = parseTree(text, errors, { allowTrailingComma: true })
    // Later errors mostly follow from the first.
    const error = errors[0]
    if (error || !root) {
      return Left([error ? describeError(file, text, error) : emptyFile(file)])
    }
    const document = new Document(file, text, root)
    const repeated = findRepeatedKeys(root, [])
    return repeated.length > 0 ? Left(repeated.map(repeat => document.place(repeat.node, repeat.finding))) : Right(document)
  }

  value (): unknown {
    return getNodeValue(this.root)
  }

  /** Gives a finding its place: that of the value, or of the nearest object around it. */
  complain (finding: Finding): Complaint {
    return this.place(this.find(finding.path), finding)
  }

  private find (path: readonly (string | number)[]): Node {
    const node = findNodeAtLocation(this.root, [...path])
    if (node) {
      const isProperty = node.parent?.type === 'property'
      return isProperty ? node.parent as Node : node
    }
    return path.length === 0 ? this.root : this.find(path.slice(0, -1))
  }

  private place (node: Node, { problem, mend }: Finding): Complaint {
    return { file: this.file, ...positionOf(this.text, node.offset), problem, mend }
  }
}

function positionOf (text: string, offset: number): { readonly line: number, readonly column: number } {
  const before = text.slice(0, offset)
  const lineStart = before.lastIndexOf('\n') + 1
  return { line: before.split('\n').length, column: offset - lineStart + 1 }
}

function describeError (file: string, text: string, error: ParseError): Complaint {
  const name = printParseErrorCode(error.error).replace(/([a-z])([A-Z])/g, '$1 $2').toLowerCase()
  return { file, ...positionOf(text, error.offset), problem: `This is not JSON with comments: ${name}.`, mend: 'Check commas, quotes and brackets just before this place.' }
}

function emptyFile (file: string): Complaint {
  return { file, line: 1, column: 1, problem: 'The file is empty.', mend: 'Start from an example of the same kind.' }
}

interface Repeat {
  readonly node: Node
  readonly finding: Finding
}

function findRepeatedKeys (node: Node, path: readonly (string | number)[]): readonly Repeat[] {
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
    const here = [...path, key.value as string]
    const repeat = seen.has(key.value) ? [{ node: key, finding: repeatedKey(here) }] : []
    seen.add(key.value)
    return [...repeat, ...findRepeatedKeys(value, here)]
  })
}

function repeatedKey (path: readonly (string | number)[]): Finding {
  return { path, problem: `${formatPath(path)} is written twice.`, mend: 'Keep one of the two.' }
}
