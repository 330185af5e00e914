/**
 * Validates a configuration that was not read from a file: the result of changes
 * that commands or other tools publish on top of the one in force.
 */
import type { Configuration } from 'foxtaillever-core'
import * as R from 'fp-ts/lib/Record.js'
import { pipe } from 'fp-ts/lib/function.js'
import type { Finding } from '../diagnostic.js'
import { describeIssue } from '../document/describeIssue.js'
import { checkConfigurationFile } from './checkConfigurationFile.js'
import { configurationSchema, type ConfigurationFile } from './configurationSchema.js'

function withoutName<Entry extends { readonly name: string }> ({ name, ...entry }: Entry): Omit<Entry, 'name'> {
  return entry
}

/**
 * Creates the file that results in this configuration. What operators set by
 * commands (preset in force, drained servers) is omitted, so that publishing the
 * file later does not undo their commands in between.
 */
export function createConfigurationFile (configuration: Configuration): ConfigurationFile {
  const { accounts, servers, models, services, presets } = configuration
  const file = {
    accounts: pipe(accounts, R.map(withoutName)),
    servers: pipe(servers, R.map(({ name, state, ...server }) => server)),
    models: pipe(models, R.map(withoutName)),
    services: pipe(services, R.map(withoutName)),
    presets: pipe(presets, R.map(withoutName))
  }
  return file as unknown as ConfigurationFile
}

/** Returns the errors of a configuration; empty when it may be published. */
export function validateConfiguration (configuration: Configuration): readonly Finding[] {
  const file = createConfigurationFile(configuration)
  const parsed = configurationSchema.safeParse(file)
  return parsed.success
    ? checkConfigurationFile(parsed.data)
    : parsed.error.issues.flatMap(issue => describeIssue(issue, configurationSchema, file))
}
