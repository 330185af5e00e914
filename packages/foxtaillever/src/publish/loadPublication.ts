/**
 * The configuration that a file would give over the one in force.
 */
import { Failure, FailureCode, type Configuration } from 'foxtaillever-core'
import { createConfiguration, formatErrors, loadConfigurationFile } from 'foxtaillever-settings'
import type { Either } from 'purify-ts'

export type Publishing = (current: Configuration) => Configuration

/** The left side holds all complaints, one a line. */
export async function loadPublication (file: string): Promise<Either<Failure, Publishing>> {
  const loaded = await loadConfigurationFile(file)
  return loaded
    .mapLeft(() => Failure.notRun(FailureCode.BadRequest, formatErrors(loaded).join('\n')))
    .map(content => current => createConfiguration(content, current))
}
