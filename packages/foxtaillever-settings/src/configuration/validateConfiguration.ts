/**
 * Checks a configuration that comes from no file: what changes published by
 * commands or other tools would make of the one in force.
 */
import type { Configuration } from 'foxtaillever-core'
import * as R from 'fp-ts/lib/Record.js'
import { pipe } from 'fp-ts/lib/function.js'
import type { Finding } from '../complaint.js'
import { describeIssue } from '../document/describeIssue.js'
import { checkConfigurationFile } from './checkConfigurationFile.js'
import { configurationSchema, type ConfigurationFile } from './configurationSchema.js'

function withoutName<Entry extends { readonly name: string }> ({ name, ...entry }: Entry): Omit<Entry, 'name'> {
  return entry
}

/**
 * The file that would give this configuration. What operators set by commands
 * (preset in force, drained servers) is left out, so that publishing the file
 * on another day does not undo what they did since.
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

/** What is wrong with a configuration; nothing when it may be published. */
export function validateConfiguration (configuration: Configuration): readonly Finding[] {
  const file = createConfigurationFile(configuration)
  const parsed = configurationSchema.safeParse(file)
  return parsed.success
    ? checkConfigurationFile(parsed.data)
    : parsed.error.issues.flatMap(issue => describeIssue(issue, configurationSchema, file))
}
