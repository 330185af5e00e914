/** Sends a short call of this process once and reads its complete answer, within a bound in bytes and in time. */
import type { IncomingMessage } from 'node:http'
import { atAfterSilence, Failure, FailureCode, Verdict, type Cancellation } from 'foxtaillever-core'
import { Left, Right, type Either } from 'purify-ts'
import { boundBody, type BodyBound } from './byteBounds.js'
import { ByteCollector } from './byteCollector.js'
import { onFinalAnswer } from './finalAnswer.js'
import type { ServerCall, ServerConnections } from './serverConnections.js'

export interface WholeAnswer {
  readonly status: number
  readonly headers: IncomingMessage['headers']
  readonly body: Buffer
}

/** The connection is closed at the deadline if the answer is not complete. */
export interface CallBound extends BodyBound {
  /** An answer that has begun may continue beyond the deadline while no gap between its chunks is longer than this, milliseconds. */
  readonly chunkTimeoutMs?: number
}

/** Longest continuation of an answer beyond its deadline, milliseconds: 8 MB over a link of 2 Mbit/s. */
const MAX_CONTINUATION_MS = 32_000

export async function callServer (connections: ServerConnections, call: ServerCall, { clock, maxBytes, deadline, chunkTimeoutMs = 0 }: CallBound): Promise<Either<Failure, WholeAnswer>> {
  return await new Promise(resolve => {
    let verdict = Verdict.NotRun
    const request = connections.send(call, () => { verdict = Verdict.MayHaveRun })
    const fail = (error: Error): void => {
      cancelDeadline()
      const code = verdict === Verdict.NotRun ? FailureCode.ConnectionRefused : FailureCode.ConnectionLost
      resolve(Left(Failure.create(code, verdict, error.message)))
    }
    const timeOut = (): void => {
      const error = new Error('no answer in time')
      request.destroy(error)
      // A request that has closed already emits no error.
      fail(error)
    }
    const timeOutAt = (at: number): Cancellation => atAfterSilence(clock, at, timeOut)
    let cancelDeadline = timeOutAt(deadline)
    request.on('error', fail)
    onFinalAnswer(request, response => {
      const body = ByteCollector.create()
      const isContinued = chunkTimeoutMs > 0
      if (!isContinued) {
        cancelDeadline()
      }
      response.on('error', fail)
      boundBody(response, { clock, maxBytes, deadline: isContinued ? deadline + MAX_CONTINUATION_MS : deadline }, excess => {
        connections.recordExcess(excess)
        fail(new Error(`the answer exceeded its bound in ${excess}`))
      })
      response.on('data', chunk => {
        body.add(chunk)
        const until = clock.now() + chunkTimeoutMs
        if (isContinued && until > deadline) {
          cancelDeadline()
          cancelDeadline = timeOutAt(until)
        }
      })
      response.on('end', () => {
        cancelDeadline()
        resolve(Right({ status: response.statusCode ?? 0, headers: response.headers, body: Buffer.from(body.bytes) }))
      })
    })
  })
}
