/**
 * Loads the settings of one entry instance.
 */
import type { Either } from 'purify-ts'
import type { Complaint } from '../complaint.js'
import { loadDocument, parseDocument, type DocumentKind } from '../document/loadDocument.js'
import { Secret } from '../secret.js'
import { checkRouterFile, type Environment } from './checkRouterFile.js'
import { routerSchema, type RouterFile } from './routerSchema.js'
import type { RouterSettings } from './routerSettings.js'

function kindIn (environment: Environment): DocumentKind<RouterFile> {
  return { schema: routerSchema, check: file => checkRouterFile(file, environment) }
}

function createSettings ({ $schema, ...file }: RouterFile, environment: Environment): RouterSettings {
  return {
    ...file,
    memberKeys: file.memberKeys.map(({ id, key, keyVariable }) => ({ id, secret: Secret.create(key ?? environment[keyVariable ?? ''] ?? '') }))
  }
}

/** @param environment where keys named by a variable are looked up. */
export async function loadRouterSettings (file: string, environment: Environment = process.env): Promise<Either<readonly Complaint[], RouterSettings>> {
  const loaded = await loadDocument(kindIn(environment), file)
  return loaded.map(content => createSettings(content, environment))
}

/** The same from a text, for tools that hold no file. */
export function parseRouterSettings (file: string, text: string, environment: Environment = process.env): Either<readonly Complaint[], RouterSettings> {
  return parseDocument(kindIn(environment), file, text).map(content => createSettings(content, environment))
}
