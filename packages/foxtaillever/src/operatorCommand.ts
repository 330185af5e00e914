/**
 * What all commands that speak to instances share: where to, with which token,
 * in which form to answer, and how to end on a failure.
 */
import { Command, Option } from 'clipanion'
import type { Failure } from 'foxtaillever-core'
import { EitherAsync, type Either } from 'purify-ts'
import { Connection } from './connection/connection.js'
import { ExitCode, exitCodeOf, mendOf } from './exitCode.js'
import { formatJson } from './format/formatJson.js'

export abstract class OperatorCommand extends Command {
  address = Option.String('--address', { description: 'Control address of an instance, or several with commas; else FOXTAILLEVER_ADDRESS.' })
  tokenFile = Option.String('--token-file', { description: 'File with your token; else FOXTAILLEVER_TOKEN.' })
  json = Option.Boolean('--json', false, { description: 'Answer with JSON, keys sorted.' })

  /** Runs with a connection, or ends with the failure. */
  protected async withConnection (run: (connection: Connection) => Promise<Either<Failure, ExitCode>>): Promise<ExitCode> {
    const { address, tokenFile } = this
    const result = await EitherAsync.fromPromise(async () => await Connection.create({ address, tokenFile, env: this.context.env }))
      .chain(run)
      .run()
    return result.caseOf({ Left: failure => this.fail(failure), Right: code => code })
  }

  /** Prints the value as JSON, or as the text for people. */
  protected print (value: unknown, text: () => string): ExitCode {
    this.context.stdout.write(this.json ? formatJson(value) : text())
    return ExitCode.Done
  }

  protected fail (failure: Failure): ExitCode {
    const { code, verdict, message } = failure
    const mend = mendOf(failure)
    const line = this.json ? formatJson({ error: { code, verdict, message, mend } }) : `${message} (${verdict}) ${mend}`.trimEnd() + '\n'
    this.context.stderr.write(line)
    return exitCodeOf(failure)
  }
}
