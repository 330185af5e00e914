/**
 * Base of all commands that call instances: the options for addresses, token and
 * output format, and the message and exit code of a failure.
 */
import { Command, Option } from 'clipanion'
import type { Failure } from 'foxtaillever-core'
import { EitherAsync, type Either } from 'purify-ts'
import { Connection } from './connection/connection.js'
import { ExitCode, exitCodeOf, describeRemedy } from './exitCode.js'
import { formatJson } from './format/formatJson.js'

export abstract class OperatorCommand extends Command {
  address = Option.String('--address', { description: 'Control address of an instance, or several with commas; else FOXTAILLEVER_ADDRESS.' })
  tokenFile = Option.String('--token-file', { description: 'File with your token; else FOXTAILLEVER_TOKEN.' })
  json = Option.Boolean('--json', false, { description: 'Answer with JSON, keys sorted.' })

  /** Runs `run` with a connection; prints the failure if there is one. */
  protected async withConnection (run: (connection: Connection) => Promise<Either<Failure, ExitCode>>): Promise<ExitCode> {
    const { address, tokenFile } = this
    const result = await EitherAsync.fromPromise(async () => await Connection.create({ address, tokenFile, env: this.context.env }))
      .chain(run)
      .run()
    return result.caseOf({ Left: failure => this.fail(failure), Right: code => code })
  }

  /** Prints the value as JSON, or the text without `--json`. */
  protected print (value: unknown, text: () => string): ExitCode {
    this.context.stdout.write(this.json ? formatJson(value) : text())
    return ExitCode.Done
  }

  protected fail (failure: Failure): ExitCode {
    const { code, verdict, message } = failure
    const mend = describeRemedy(failure)
    const line = this.json ? formatJson({ error: { code, verdict, message, mend } }) : `${message} (${verdict}) ${mend}`.trimEnd() + '\n'
    this.context.stderr.write(line)
    return exitCodeOf(failure)
  }
}
