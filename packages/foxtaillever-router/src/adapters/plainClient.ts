/** Plain services over HTTP: one pool for each backend server. */
import { Failure, FailureCode, Verdict, type Clock } from 'foxtaillever-core'
import { Left, Right, type Either } from 'purify-ts'
import { Pool, type Dispatcher } from 'undici'
import { isBeforeFirstByte } from './isBeforeFirstByte.js'

const CONNECTIONS = 32

/** A server that takes longer to accept a connection is passed over; the call has not left. */
const CONNECT_MS = 500

export interface PlainRequest {
  readonly method: string
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly body: Buffer | undefined
  /** Milliseconds of Unix time. */
  readonly deadline: number
}

export type PlainAnswer = Dispatcher.ResponseData

export class PlainClient {
  private readonly pools = new Map<string, Pool>()

  private constructor (private readonly clock: Clock) {}

  static create (clock: Clock): PlainClient {
    return new PlainClient(clock)
  }

  async send (address: string, request: PlainRequest): Promise<Either<Failure, PlainAnswer>> {
    const { method, path, headers, body, deadline } = request
    const limit = Math.max(1, Math.ceil(deadline - this.clock.now()))
    try {
      const answer = await this.poolOf(address).request({
        method: method as Dispatcher.HttpMethod,
        path,
        headers: { ...headers },
        body: body ?? null,
        headersTimeout: limit,
        bodyTimeout: limit
      })
      return Right(answer)
    } catch (error) {
      return Left(readError(error))
    }
  }

  private poolOf (address: string): Pool {
    const pool = this.pools.get(address) ?? new Pool(`http://${address}`, { connections: CONNECTIONS, connect: { timeout: CONNECT_MS } })
    this.pools.set(address, pool)
    return pool
  }

  async close (): Promise<void> {
    await Promise.all([...this.pools.values()].map(async pool => await pool.destroy()))
  }
}

function readError (error: unknown): Failure {
  if (isBeforeFirstByte(error)) {
    return Failure.notRun(FailureCode.ConnectionRefused, 'No connection to the plain service could be made.')
  }
  return Failure.create(FailureCode.ConnectionLost, Verdict.MayHaveRun, 'The plain service did not answer in time.')
}
