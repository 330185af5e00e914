/** Client of the platform's log over HTTP. */
import { Failure, FailureCode, Verdict, type Clock, type Log, type LogEntry, type LogPage } from 'foxtaillever-core'
import { Left, Right, type Either } from 'purify-ts'
import { Pool } from 'undici'
import { isBeforeFirstByte } from './isBeforeFirstByte.js'

/** Added to the wait of a read before the read counts as lost, milliseconds. */
const READ_TIMEOUT_MARGIN_MS = 2000

/** An append whose answer takes longer counts as lost, milliseconds. */
const APPEND_TIMEOUT_MS = 5000

export class LogClient implements Log {
  private constructor (private readonly pool: Pool, private readonly clock: Clock) {}

  static create (address: string, clock: Clock): LogClient {
    return new LogClient(new Pool(`http://${address}`, { connections: 4 }), clock)
  }

  async append (entry: LogEntry): Promise<Either<Failure, number>> {
    const answer = await this.call('POST', '/log', this.clock.now() + APPEND_TIMEOUT_MS, JSON.stringify(entry))
    return answer.map(body => (body as { offset: number }).offset)
  }

  async read (from: number, deadline: number): Promise<Either<Failure, LogPage>> {
    const wait = Math.max(0, Math.floor(deadline - this.clock.now()))
    const answer = await this.call('GET', `/log?from=${from}&wait=${wait}`, deadline + READ_TIMEOUT_MARGIN_MS)
    return answer.map(body => body as LogPage)
  }

  private async call (method: 'GET' | 'POST', path: string, deadline: number, body?: string): Promise<Either<Failure, unknown>> {
    const limit = Math.max(1, deadline - this.clock.now())
    try {
      const answer = await this.pool.request({ method, path, body, headers: { 'content-type': 'application/json' }, headersTimeout: limit, bodyTimeout: limit })
      const text = await answer.body.text()
      if (answer.statusCode === 200) {
        return Right(JSON.parse(text) as unknown)
      }
      return Left(Failure.notRun(FailureCode.LogUnavailable, 'The log refuses the call.'))
    } catch (error) {
      const verdict = isBeforeFirstByte(error) ? Verdict.NotRun : Verdict.MayHaveRun
      return Left(Failure.create(FailureCode.LogUnavailable, verdict, 'The log does not answer.'))
    }
  }

  async close (): Promise<void> {
    await this.pool.destroy()
  }
}
