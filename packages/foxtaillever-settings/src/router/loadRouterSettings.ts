/**
 * Loads the settings of one entry instance.
 */
import type { Either } from 'purify-ts'
import type { Diagnostic } from '../diagnostic.js'
import { loadDocument, parseDocument, type DocumentKind } from '../document/loadDocument.js'
import { Secret } from '../secret.js'
import { checkRouterFile, type Environment } from './checkRouterFile.js'
import { routerSchema, type RouterFile } from './routerSchema.js'
import type { RouterSettings } from './routerSettings.js'

function createDocumentKind (environment: Environment): DocumentKind<RouterFile> {
  return { schema: routerSchema, check: file => checkRouterFile(file, environment) }
}

function createSettings ({ $schema, ...file }: RouterFile, environment: Environment): RouterSettings {
  return {
    ...file,
    memberKeys: file.memberKeys.map(({ id, key, keyVariable }) => ({ id, secret: Secret.create(key ?? environment[keyVariable ?? ''] ?? '') }))
  }
}

/** @param environment variables that hold keys which the file names by variable. */
export async function loadRouterSettings (file: string, environment: Environment = process.env): Promise<Either<readonly Diagnostic[], RouterSettings>> {
  const loaded = await loadDocument(createDocumentKind(environment), file)
  return loaded.map(content => createSettings(content, environment))
}

/** Parses settings from text, for tools that have no file. @param file name to report in diagnostics. */
export function parseRouterSettings (file: string, text: string, environment: Environment = process.env): Either<readonly Diagnostic[], RouterSettings> {
  return parseDocument(createDocumentKind(environment), file, text).map(content => createSettings(content, environment))
}
