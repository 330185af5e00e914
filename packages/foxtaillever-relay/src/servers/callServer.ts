/** Sends a short call of this process once and reads its complete answer; the call fails at its deadline. */
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
 * @param deadline milliseconds of Unix time; the connection is closed then if the answer is not complete.
 * @param chunkTimeoutMs an answer that has begun may continue beyond the deadline while no gap between its chunks is longer than this.
 */
export async function callServer (connections: ServerConnections, call: ServerCall, clock: Clock, deadline: number, chunkTimeoutMs = 0): Promise<Either<Failure, WholeAnswer>> {
  return await new Promise(resolve => {
    let verdict = Verdict.NotRun
    const request = connections.send(call, () => { verdict = Verdict.MayHaveRun })
    const timeOutAt = (at: number): Cancellation => atAfterSilence(clock, at, () => request.destroy(new Error('no answer in time')))
    let cancelDeadline = timeOutAt(deadline)
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
        const until = clock.now() + chunkTimeoutMs
        if (until > deadline) {
          cancelDeadline()
          cancelDeadline = timeOutAt(until)
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
