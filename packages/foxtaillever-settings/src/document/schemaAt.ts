/**
 * Finds the part of a schema at a path, for messages that list its keys and
 * describe its purpose.
 */
import { z } from 'zod'

/** Returns the schema inside optional and default wrappers. */
export function unwrap (schema: z.ZodTypeAny): z.ZodTypeAny {
  if (schema instanceof z.ZodOptional || schema instanceof z.ZodDefault) {
    return unwrap(schema._def.innerType)
  }
  return schema
}

function getPartAt (schema: z.ZodTypeAny, key: string | number): z.ZodTypeAny | undefined {
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
  return path.reduce<z.ZodTypeAny | undefined>((part, key) => part && getPartAt(part, key), schema)
}

/** Keys that the object at a path can have. */
export function knownKeys (schema: z.ZodTypeAny, path: readonly (string | number)[]): readonly string[] {
  const part = schemaAt(schema, path)
  const inner = part && unwrap(part)
  return inner instanceof z.ZodObject ? Object.keys(inner.shape) : []
}

/** The description of a schema, or of the schema that it wraps. */
export function descriptionOf (schema: z.ZodTypeAny): string | undefined {
  return schema.description ?? (unwrap(schema) === schema ? undefined : unwrap(schema).description)
}
