/**
 * Renders the text of the committed JSON schema files.
 */
import type { z } from 'zod'
import { configurationSchema } from '../configuration/configurationSchema.js'
import { routerSchema } from '../router/routerSchema.js'
import { createEditorSchema } from './createEditorSchema.js'

const DIALECT = 'http://json-schema.org/draft-07/schema#'

function render (title: string, schema: z.ZodTypeAny): string {
  return `${JSON.stringify({ $schema: DIALECT, title, ...createEditorSchema(schema) }, null, 2)}\n`
}

/** Returns texts by file name in `schemas/`. */
export function renderEditorSchemas (): Readonly<Record<string, string>> {
  return {
    'configuration.schema.json': render('Configuration of foxtaillever', configurationSchema),
    'router.schema.json': render('Settings of an entry instance of foxtaillever', routerSchema)
  }
}
