/** Creates the change that takes a backend server out of service or back into it; none if it has that state. */
import { Failure, FailureCode, type AdministrativeState, type Configuration } from 'foxtaillever-core'
import { ChangeKind, type Change } from 'foxtaillever-fleet'
import { Left, Right, type Either } from 'purify-ts'

export function createServerStateChanges ({ servers }: Configuration, name: string, state: AdministrativeState): Either<Failure, readonly Change[]> {
  const server = servers[name]
  if (!server) {
    return Left(Failure.notRun(FailureCode.BadRequest, `There is no backend server "${name}": \`foxtaillever servers\` lists them.`))
  }
  return Right(server.state === state ? [] : [{ kind: ChangeKind.PutServer, server: { ...server, state } }])
}
