/** Loads a configuration file as a function that merges it into the configuration in force. */
import { Failure, FailureCode, type Configuration } from 'foxtaillever-core'
import { createConfiguration, formatErrors, loadConfigurationFile } from 'foxtaillever-settings'
import type { Either } from 'purify-ts'

export type MergeConfiguration = (current: Configuration) => Configuration

/** The message of a failure lists all errors of the file, one a line. */
export async function loadPublication (file: string): Promise<Either<Failure, MergeConfiguration>> {
  const loaded = await loadConfigurationFile(file)
  return loaded
    .mapLeft(() => Failure.notRun(FailureCode.BadRequest, formatErrors(loaded).join('\n')))
    .map(content => current => createConfiguration(content, current))
}
