/**
 * Finds the part of a schema that stands at a path, to tell a reader which keys
 * it knows and what it is for.
 */
import { z } from 'zod'

/** Strips what only adds defaults, options or checks. */
export function unwrap (schema: z.ZodTypeAny): z.ZodTypeAny {
  if (schema instanceof z.ZodOptional || schema instanceof z.ZodDefault) {
    return unwrap(schema._def.innerType)
  }
  return schema
}

function step (schema: z.ZodTypeAny, key: string | number): z.ZodTypeAny | undefined {
  const inner = unwrap(schema)
  if (inner instanceof z.ZodObject) {
    return inner.shape[key]
  }
  if (inner instanceof z.ZodRecord) {
    return inner.valueSchema
  }
  if (inner instanceof z.ZodTuple) {
    return inner.items[Number(key)]
  }
  return inner instanceof z.ZodArray ? inner.element : undefined
}

export function schemaAt (schema: z.ZodTypeAny, path: readonly (string | number)[]): z.ZodTypeAny | undefined {
  return path.reduce<z.ZodTypeAny | undefined>((part, key) => part && step(part, key), schema)
}

/** Keys that the object at a path may have. */
export function knownKeys (schema: z.ZodTypeAny, path: readonly (string | number)[]): readonly string[] {
  const part = schemaAt(schema, path)
  const inner = part && unwrap(part)
  return inner instanceof z.ZodObject ? Object.keys(inner.shape) : []
}

/** The description of a part, or of what it wraps. */
export function descriptionOf (schema: z.ZodTypeAny): string | undefined {
  return schema.description ?? (unwrap(schema) === schema ? undefined : unwrap(schema).description)
}
