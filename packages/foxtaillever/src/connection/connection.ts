/**
 * Calls instances for a command, with the operator's token. Any instance can
 * answer, so several addresses are called in turn: a call goes to the next one
 * only if the connection was refused, which proves that the call did not run.
 */
import { readFile } from 'node:fs/promises'
import { Failure, FailureCode, Verdict } from 'foxtaillever-core'
import { ControlClient, MemberCondition, type MemberView } from 'foxtaillever-control'
import { EitherAsync, Left, Right, type Either } from 'purify-ts'

export interface ConnectionOptions {
  /** From `--address`; undefined when not given. */
  readonly address: string | undefined
  /** From `--token-file`; undefined when not given. */
  readonly tokenFile: string | undefined
  readonly env: Readonly<Record<string, string | undefined>>
}

/** The answer of one instance, or the failure of the call to it. */
export interface InstanceAnswer<Value> {
  readonly instance: string
  readonly answer: Either<Failure, Value>
}

type ControlCall<Value> = (client: ControlClient) => Promise<Either<Failure, Value>>

async function readToken ({ tokenFile, env }: ConnectionOptions): Promise<Either<Failure, string>> {
  if (tokenFile === undefined) {
    const token = env['FOXTAILLEVER_TOKEN']
    return token ? Right(token) : Left(Failure.notRun(FailureCode.Unauthenticated, 'No token is set.'))
  }
  return await EitherAsync(async () => (await readFile(tokenFile, 'utf8')).trim())
    .mapLeft(() => Failure.notRun(FailureCode.Unauthenticated, `The token file ${tokenFile} cannot be read.`))
}

export class Connection {
  private constructor (private readonly addresses: readonly string[], private readonly token: string) {}

  static async create (options: ConnectionOptions): Promise<Either<Failure, Connection>> {
    const addresses = (options.address ?? options.env['FOXTAILLEVER_ADDRESS'] ?? '').split(/[\s,]+/).filter(address => address !== '')
    if (addresses.length === 0) {
      return Left(Failure.notRun(FailureCode.ConnectionRefused, 'No instance is named.'))
    }
    const token = await readToken(options)
    return token.map(text => new Connection(addresses, text))
  }

  /** Calls the first instance that accepts a connection. */
  async call<Value> (call: ControlCall<Value>): Promise<Either<Failure, Value>> {
    let last: Either<Failure, Value> = Left(Failure.notRun(FailureCode.ConnectionRefused, 'No instance is named.'))
    for (const address of this.addresses) {
      last = await call(ControlClient.create(address, this.token))
      if (!mayCallNext(last)) {
        return last
      }
    }
    return last
  }

  /** Calls every listed instance at once; the result of one that does not answer holds the failure. */
  async callAll<Value> (call: ControlCall<Value>): Promise<Either<Failure, ReadonlyArray<InstanceAnswer<Value>>>> {
    const members = await this.call(async client => await client.members())
    return await EitherAsync.liftEither(members)
      .map(async views => await Promise.all(views.map(async view => await this.callMember(view, call))))
      .run()
  }

  private async callMember<Value> ({ name, controlAddress, state }: MemberView, call: ControlCall<Value>): Promise<InstanceAnswer<Value>> {
    const answer = await call(ControlClient.create(controlAddress, this.token))
    const instance = state === MemberCondition.Live ? name : `${name} (${state})`
    return { instance, answer }
  }
}

/** An instance is skipped only if its connection was refused: any other call may have run. */
function mayCallNext (answer: Either<Failure, unknown>): boolean {
  return answer.swap().map(({ code, verdict }) => code === FailureCode.ConnectionRefused && verdict === Verdict.NotRun).orDefault(false)
}
