/**
 * Creates the JSON schema of a settings file, for editors, from the zod schema that
 * validates the file. A test compares the committed files with the result.
 */
import { z } from 'zod'
import { descriptionOf } from '../document/schemaAt.js'

export type EditorSchema = Readonly<Record<string, unknown>>

type Handler<Schema extends z.ZodTypeAny> = (schema: Schema) => EditorSchema

const convertObject: Handler<z.AnyZodObject> = schema => {
  const parts = Object.entries(schema.shape as z.ZodRawShape)
  return {
    type: 'object',
    additionalProperties: false,
    required: parts.filter(([, part]) => !part.isOptional()).map(([name]) => name),
    properties: Object.fromEntries(parts.map(([name, part]) => [name, createEditorSchema(part)]))
  }
}

const convertNumber: Handler<z.ZodNumber> = schema => {
  const bounds = schema._def.checks.map(check => numberChecks[check.kind]?.(check as never) ?? {})
  return Object.assign({ type: schema.isInt ? 'integer' : 'number' }, ...bounds)
}

interface Bound {
  readonly value: number
  readonly inclusive: boolean
}

const numberChecks: Readonly<Record<string, (check: Bound) => EditorSchema>> = {
  min: ({ value, inclusive }) => inclusive ? { minimum: value } : { exclusiveMinimum: value },
  max: ({ value, inclusive }) => inclusive ? { maximum: value } : { exclusiveMaximum: value }
}

const convertString: Handler<z.ZodString> = schema => {
  const pattern = schema._def.checks.flatMap(check => check.kind === 'regex' ? [check.regex.source] : [])[0]
  return pattern ? { type: 'string', pattern } : { type: 'string' }
}

const convertArray: Handler<z.ZodArray<z.ZodTypeAny>> = schema => {
  const minLength = schema._def.minLength?.value
  return { type: 'array', items: createEditorSchema(schema.element), ...(minLength === undefined ? {} : { minItems: minLength }) }
}

const convertRecord: Handler<z.ZodRecord> = schema => ({
  type: 'object',
  propertyNames: createEditorSchema(schema.keySchema),
  additionalProperties: createEditorSchema(schema.valueSchema)
})

const convertTuple: Handler<z.ZodTuple> = schema => {
  const items = schema.items.map(item => createEditorSchema(item))
  return { type: 'array', items, minItems: items.length, maxItems: items.length }
}

const handlers: Readonly<Record<string, Handler<never>>> = {
  ZodObject: convertObject,
  ZodNumber: convertNumber,
  ZodString: convertString,
  ZodArray: convertArray,
  ZodRecord: convertRecord,
  ZodTuple: convertTuple,
  ZodBoolean: () => ({ type: 'boolean' }),
  ZodEnum: (schema: z.ZodEnum<[string, ...string[]]>) => ({ enum: schema.options }),
  ZodNativeEnum: (schema: z.ZodNativeEnum<z.EnumLike>) => ({ enum: Object.values(schema.enum) }),
  ZodOptional: (schema: z.ZodOptional<z.ZodTypeAny>) => createEditorSchema(schema.unwrap()),
  ZodDefault: (schema: z.ZodDefault<z.ZodTypeAny>) => ({ ...createEditorSchema(schema.removeDefault()), default: schema._def.defaultValue() })
}

/** @throws when the schema has a type that this conversion does not support; a test would fail first. */
export function createEditorSchema (schema: z.ZodTypeAny): EditorSchema {
  const name = String(schema._def.typeName)
  const handler = handlers[name] as Handler<z.ZodTypeAny> | undefined
  if (!handler) {
    throw new Error(`No conversion of ${name} to JSON schema.`)
  }
  const description = descriptionOf(schema)
  return { ...(description ? { description } : {}), ...handler(schema) }
}
