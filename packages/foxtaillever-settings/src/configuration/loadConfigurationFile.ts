/**
 * Loads the operators' configuration file.
 */
import { AdministrativeState, emptyConfiguration, PresetName, type Configuration } from 'foxtaillever-core'
import * as R from 'fp-ts/lib/Record.js'
import { pipe } from 'fp-ts/lib/function.js'
import type { Either } from 'purify-ts'
import type { Diagnostic } from '../diagnostic.js'
import { loadDocument, parseDocument, type DocumentKind } from '../document/loadDocument.js'
import { checkConfigurationFile } from './checkConfigurationFile.js'
import { configurationSchema, type ConfigurationFile } from './configurationSchema.js'

const kind: DocumentKind<ConfigurationFile> = { schema: configurationSchema, check: checkConfigurationFile }

export async function loadConfigurationFile (file: string): Promise<Either<readonly Diagnostic[], ConfigurationFile>> {
  return await loadDocument(kind, file)
}

/** Parses a configuration from text, for tools that have no file. @param file name to report in diagnostics. */
export function parseConfigurationFile (file: string, text: string): Either<readonly Diagnostic[], ConfigurationFile> {
  return parseDocument(kind, file, text)
}

function withNames<Entry> (entries: Readonly<Record<string, Entry>>): Record<string, Entry & { readonly name: string }> {
  return pipe(entries, R.mapWithIndex((name, entry) => ({ name, ...entry })))
}

/**
 * Creates the configuration that results from publishing the file over the
 * current one. What operators set by commands (preset in force, drained servers)
 * is kept unless the file sets it, so that publishing a file never undoes a
 * command.
 */
export function createConfiguration (file: ConfigurationFile, current: Configuration = emptyConfiguration): Configuration {
  const state = (name: string): AdministrativeState => current.servers[name]?.state ?? AdministrativeState.InService
  const preset = <Name extends PresetName>(name: Name): Configuration['presets'][Name] => ({ name, ...file.presets[name] })
  return {
    revision: current.revision,
    accounts: withNames(file.accounts),
    servers: pipe(withNames(file.servers), R.map(server => ({ ...server, state: server.state ?? state(server.name) }))),
    models: withNames(file.models),
    services: withNames(file.services),
    presets: {
      [PresetName.OrdinaryDays]: preset(PresetName.OrdinaryDays),
      [PresetName.Peaks]: preset(PresetName.Peaks),
      [PresetName.Maintenance]: preset(PresetName.Maintenance)
    },
    presetInForce: file.presetInForce ?? current.presetInForce
  }
}
