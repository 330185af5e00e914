/** Client of the platform's list of instances over HTTP. */
import { Failure, FailureCode, type InstanceList, type ListedInstance } from 'foxtaillever-core'
import { Left, Right, type Either } from 'purify-ts'
import { Pool } from 'undici'

const ANSWER_TIMEOUT_MS = 2000

export class InstanceListClient implements InstanceList {
  private constructor (private readonly pool: Pool) {}

  static create (address: string): InstanceListClient {
    return new InstanceListClient(new Pool(`http://${address}`, { connections: 1, headersTimeout: ANSWER_TIMEOUT_MS, bodyTimeout: ANSWER_TIMEOUT_MS }))
  }

  async list (): Promise<Either<Failure, readonly ListedInstance[]>> {
    try {
      const answer = await this.pool.request({ method: 'GET', path: '/instances' })
      return Right(await answer.body.json() as ListedInstance[])
    } catch {
      return Left(Failure.notRun(FailureCode.Internal, 'The instance list does not answer.'))
    }
  }

  async close (): Promise<void> {
    await this.pool.destroy()
  }
}
