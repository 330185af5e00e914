/** A short call of the process itself: sent once, answered whole or failed by its deadline. */
import type { IncomingMessage } from 'node:http'
import { atAfterSilence, Failure, FailureCode, Verdict, type Cancellation, type Clock } from 'foxtaillever-core'
import { Left, Right, type Either } from 'purify-ts'
import type { ServerCall, ServerConnections } from './serverConnections.js'

export interface WholeAnswer {
  readonly status: number
  readonly headers: IncomingMessage['headers']
  readonly body: Buffer
}

/**
 * @param deadline milliseconds of Unix time; a connection that went silent is closed then.
 * @param pieceMs an answer that has begun may go on beyond the deadline while its pieces come no further apart than this.
 */
export async function callServer (connections: ServerConnections, call: ServerCall, clock: Clock, deadline: number, pieceMs = 0): Promise<Either<Failure, WholeAnswer>> {
  return await new Promise(resolve => {
    let verdict = Verdict.NotRun
    const request = connections.send(call, () => { verdict = Verdict.MayHaveRun })
    const endAt = (at: number): Cancellation => atAfterSilence(clock, at, () => request.destroy(new Error('no answer in time')))
    let cancelDeadline = endAt(deadline)
    const fail = (error: Error): void => {
      cancelDeadline()
      const code = verdict === Verdict.NotRun ? FailureCode.ConnectionRefused : FailureCode.ConnectionLost
      resolve(Left(Failure.create(code, verdict, error.message)))
    }
    request.on('error', fail)
    request.on('response', response => {
      const chunks: Buffer[] = []
      response.on('data', chunk => {
        chunks.push(chunk)
        const until = clock.now() + pieceMs
        if (until > deadline) {
          cancelDeadline()
          cancelDeadline = endAt(until)
        }
      })
      response.on('error', fail)
      response.on('end', () => {
        cancelDeadline()
        resolve(Right({ status: response.statusCode ?? 0, headers: response.headers, body: Buffer.concat(chunks) }))
      })
    })
  })
}
