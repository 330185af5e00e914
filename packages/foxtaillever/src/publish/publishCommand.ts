/**
 * Base of all commands that change the configuration. They show the changes, ask
 * for a confirmation if traffic may move, publish against the revision that they
 * read, and print the outcome.
 */
import { Option } from 'clipanion'
import type { Configuration, Failure } from 'foxtaillever-core'
import { describeChanges, mayMoveTraffic } from 'foxtaillever-control'
import { PublicationOutcome, type Change, type InForce, type Publication } from 'foxtaillever-fleet'
import { EitherAsync, Right, type Either } from 'purify-ts'
import type { Connection } from '../connection/connection.js'
import { ExitCode } from '../exitCode.js'
import { OperatorCommand } from '../operatorCommand.js'
import { confirm } from './confirm.js'

/** How long the log may take to accept a publication, milliseconds. */
const PUBLICATION_WAIT_MS = 10_000

/** How long all instances may take to put it in force, milliseconds; 8 s are promised. */
const IN_FORCE_WAIT_MS = 15_000

/** Outcome of a publication, as `--json` prints it. */
interface PublicationReport {
  readonly changes: readonly string[]
  readonly publication?: Publication
  readonly inForce?: InForce
}

const outcomeExitCodes: Record<PublicationOutcome, ExitCode> = {
  [PublicationOutcome.Accepted]: ExitCode.Done,
  [PublicationOutcome.Refused]: ExitCode.Refused,
  [PublicationOutcome.NotPublished]: ExitCode.Refused,
  [PublicationOutcome.Unknown]: ExitCode.Unknown
}

const outcomeMessages: Record<PublicationOutcome, (publication: Publication) => string> = {
  [PublicationOutcome.Accepted]: ({ revision }) => `Accepted as revision ${revision}.`,
  [PublicationOutcome.Refused]: ({ message, revision, author }) => `Refused: ${message} Revision ${revision} of ${author || 'nobody'} is in force. Look at it with \`foxtaillever config show\`, then try again.`,
  [PublicationOutcome.NotPublished]: ({ message }) => `Not published: ${message} Try again later.`,
  [PublicationOutcome.Unknown]: ({ message }) => `Unknown: ${message} Look with \`foxtaillever config show\` before trying again.`
}

export abstract class PublishCommand extends OperatorCommand {
  yes = Option.Boolean('--yes', false, { description: 'Do not ask, also when traffic moves.' })
  wait = Option.Boolean('--wait', false, { description: 'Wait until all instances have it in force; name those that have not.' })

  /** Publishes the changes that `createChanges` derives from the configuration in force. */
  protected async publish (createChanges: (configuration: Configuration) => Either<Failure, readonly Change[]>): Promise<ExitCode> {
    return await this.withConnection(async connection => await EitherAsync.fromPromise(async () => await connection.call(async client => await client.configuration()))
      .chain(async ({ configuration }) => await EitherAsync.liftEither(createChanges(configuration))
        .chain(async changes => await this.publishChanges(connection, configuration, changes))
        .run())
      .run())
  }

  private async publishChanges (connection: Connection, configuration: Configuration, changes: readonly Change[]): Promise<Either<Failure, ExitCode>> {
    const lines = describeChanges(configuration, changes)
    if (changes.length === 0) {
      return Right(this.print({ changes: [] }, () => 'Nothing to change: this is in force already.\n'))
    }
    if (!this.json) {
      this.context.stdout.write(lines.map(line => `${line}\n`).join(''))
    }
    if (mayMoveTraffic(changes) && !this.yes && !await confirm(this.context, `This may move traffic of revision ${configuration.revision}.`)) {
      return Right(ExitCode.NotConfirmed)
    }
    const published = await connection.call(async client => await client.publish(configuration.revision, changes, PUBLICATION_WAIT_MS))
    return await EitherAsync.liftEither(published)
      .chain(async publication => await this.reportOutcome(connection, { changes: lines, publication }))
      .run()
  }

  private async reportOutcome (connection: Connection, report: Required<Pick<PublicationReport, 'changes' | 'publication'>>): Promise<Either<Failure, ExitCode>> {
    const { publication } = report
    const accepted = publication.outcome === PublicationOutcome.Accepted
    if (!this.wait || !accepted) {
      this.print(report, () => `${outcomeMessages[publication.outcome](publication)}\n`)
      return Right(outcomeExitCodes[publication.outcome])
    }
    const waited = await connection.call(async client => await client.waitInForce(publication.revision, IN_FORCE_WAIT_MS))
    return waited.map(inForce => {
      this.print({ ...report, inForce }, () => `${outcomeMessages[publication.outcome](publication)}\n${describeInForce(inForce)}\n`)
      return inForce.missing.length === 0 ? ExitCode.Done : ExitCode.NotEverywhere
    })
  }
}

function describeInForce ({ inForce, live, missing }: InForce): string {
  const where = `In force at ${inForce} of ${live} instances.`
  return missing.length === 0 ? where : `${where} Missing: ${missing.join(', ')}. It comes into force there when they read the log or hear it from others.`
}
