/**
 * Converts zod's issues to findings that state how to fix the file.
 */
import { z } from 'zod'
import { formatPath, type Finding } from '../diagnostic.js'
import { ruleOf } from './formats.js'
import { findNearestName } from './findNearestName.js'
import { descriptionOf, knownKeys, schemaAt } from './schemaAt.js'
import { parseNumberWithUnit, unitOf } from './units.js'

type Handler<Code extends z.ZodIssueCode> = (issue: Extract<z.ZodIssue, { code: Code }>, schema: z.ZodTypeAny, value: unknown) => readonly Finding[]

function lastName (path: readonly (string | number)[]): string {
  const names = path.filter(step => typeof step === 'string')
  return String(names[names.length - 1] ?? '')
}

function formatUnit (path: readonly (string | number)[]): string {
  const unit = unitOf(lastName(path))
  return unit ? `, ${unit}` : ''
}

function describeMissing (path: readonly (string | number)[], schema: z.ZodTypeAny): Finding {
  const part = schemaAt(schema, path)
  const what = part && descriptionOf(part)
  return { path, problem: `${formatPath(path)} is missing.`, mend: `Add "${lastName(path)}"${what ? `: ${what}` : '.'}` }
}

/** Suggests the number to write instead of text with a unit, such as "30s". */
function describeTextForNumber (path: readonly (string | number)[], value: string): Finding {
  const number = parseNumberWithUnit(lastName(path), value)
  const mend = number === undefined ? `Write a number${formatUnit(path)}, without quotes.` : `Write ${number}, without quotes${formatUnit(path)}.`
  return { path, problem: `${formatPath(path)} is text, not a number.`, mend }
}

const describeType: Handler<'invalid_type'> = ({ path, expected, received }, schema, value) => {
  if (received === 'undefined') {
    return [describeMissing(path, schema)]
  }
  if (expected === 'number' && typeof value === 'string') {
    return [describeTextForNumber(path, value)]
  }
  const mend = expected === 'integer' ? `Write a whole number${formatUnit(path)}.` : `Write ${describeKind(expected)}${formatUnit(path)}.`
  return [{ path, problem: `${formatPath(path)} is ${describeKind(received)}, not ${describeKind(expected)}.`, mend }]
}

function describeKind (kind: string): string {
  const names: Readonly<Record<string, string>> = { array: 'a list', integer: 'a whole number', float: 'a number with a fraction', string: 'text', boolean: 'true or false', null: 'null', object: 'an object' }
  return names[kind] ?? `a ${kind}`
}

const describeUnknownKeys: Handler<'unrecognized_keys'> = ({ path, keys }, schema) => {
  const known = knownKeys(schema, path)
  return keys.map(key => {
    const meant = findNearestName(key, known)
    const mend = meant ? `Write "${meant}"${formatUnit([meant])}.` : `Known here: ${known.join(', ')}.`
    return { path: [...path, key], problem: `${formatPath([...path, key])} is not a setting.`, mend }
  })
}

/** A time that is too short was most often written in seconds. */
const describeTooSmall: Handler<'too_small'> = ({ path, minimum, inclusive, type }, _, value) => {
  const where = formatPath(path)
  if (type !== 'number') {
    return [{ path, problem: `${where} is empty.`, mend: `Give it at least ${minimum} ${Number(minimum) === 1 ? 'entry' : 'entries'}.` }]
  }
  const seconds = lastName(path).endsWith('Ms') && Number(value) > 0 ? ` If ${String(value)} s was meant, write ${Number(value) * 1000}.` : ''
  return [{ path, problem: `${where} is ${String(value)}, ${inclusive ? 'below' : 'not above'} ${minimum}.`, mend: `Write ${inclusive ? `${minimum} or more` : `more than ${minimum}`}${formatUnit(path)}.${seconds}` }]
}

const describeTooBig: Handler<'too_big'> = ({ path, maximum }, _, value) => {
  const percent = lastName(path).endsWith('Share') && Number(value) <= 100 ? ` If ${String(value)}% was meant, write ${Number(value) / 100}.` : ''
  return [{ path, problem: `${formatPath(path)} is ${String(value)}, above ${maximum}.`, mend: `Write ${maximum} or less${formatUnit(path)}.${percent}` }]
}

const describeFormat: Handler<'invalid_string'> = ({ path, message }) => {
  const rule = ruleOf(message)
  return [{ path, problem: `${formatPath(path)} ${rule?.problem ?? 'has the wrong form.'}`, mend: rule?.mend ?? message }]
}

const describeEnum: Handler<'invalid_enum_value'> = ({ path, options, received }) => {
  const names = options.map(String)
  const meant = findNearestName(String(received), names)
  return [{ path, problem: `${formatPath(path)} is "${String(received)}", which is not one of ${names.join(', ')}.`, mend: meant ? `Write "${meant}".` : `Write one of ${names.join(', ')}.` }]
}

const handlers: { readonly [Code in z.ZodIssueCode]?: Handler<Code> } = {
  invalid_type: describeType,
  unrecognized_keys: describeUnknownKeys,
  too_small: describeTooSmall,
  too_big: describeTooBig,
  invalid_string: describeFormat,
  invalid_enum_value: describeEnum
}

/** @param value content of the whole file, to look up the value at the issue's path. */
export function describeIssue (issue: z.ZodIssue, schema: z.ZodTypeAny, value: unknown): readonly Finding[] {
  const handler = handlers[issue.code] as Handler<z.ZodIssueCode> | undefined
  const at = issue.path.reduce<unknown>((part, step) => (part as Record<string, unknown> | undefined)?.[step], value)
  return handler
    ? handler(issue as never, schema, at)
    : [{ path: issue.path, problem: `${formatPath(issue.path)} has the wrong form.`, mend: issue.message }]
}
