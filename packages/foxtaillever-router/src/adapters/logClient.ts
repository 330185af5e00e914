/** Client of the platform's log over HTTP. */
import { Failure, FailureCode, Verdict, type Clock, type Log, type LogEntry, type LogPage } from 'foxtaillever-core'
import { Left, Right, type Either } from 'purify-ts'
import type { Pool } from 'undici'
import { createPlatformPool, requestText } from './boundedAnswer.js'
import { isBeforeFirstByte } from './isBeforeFirstByte.js'

/** Added to the wait of a read before the read counts as lost, milliseconds. */
const READ_TIMEOUT_MARGIN_MS = 2000

/** An append whose answer takes longer counts as lost, milliseconds. */
const APPEND_TIMEOUT_MS = 5000

const CONNECTIONS = 4

export class LogClient implements Log {
  private constructor (private readonly pool: Pool, private readonly clock: Clock) {}

  static create (address: string, clock: Clock): LogClient {
    return new LogClient(createPlatformPool(address, CONNECTIONS), clock)
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
      const { status, text } = await requestText(this.pool, { method, path, body, headers: { 'content-type': 'application/json' } }, limit)
      if (status === 200) {
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
