/**
 * Reserves what a request and its body make the process hold, before the body is read, and returns it when the request is
 * answered or its connection closes.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { Failure, FailureCode, type Clock } from 'foxtaillever-core'
import { earliestRetryTime } from 'foxtaillever-policy/relay/earliestRetryTime'
import { Holding, holdingOfBody, type Reservation } from 'foxtaillever-policy/relay/processBudget'
import { reserveRequest, reserveUntilAnswered } from 'foxtaillever-relay/callers/reserveRequest'
import type { ServerGuard } from 'foxtaillever-relay/callers/serverGuard'

export class RequestReservations {
  private inProgress = 0
  private readonly bodies = new WeakMap<IncomingMessage, Reservation>()

  private constructor (private readonly clock: Clock, private readonly guard: ServerGuard) {}

  static create (clock: Clock, guard: ServerGuard): RequestReservations {
    return new RequestReservations(clock, guard)
  }

  /** @returns why there is no room for the request; undefined if there is. */
  reserve (request: IncomingMessage, response: ServerResponse): Failure | undefined {
    const { budget, maxRequests } = this.guard
    const body = reserveUntilAnswered(budget, Holding.SmallBody, response)
    this.inProgress += 1
    this.bodies.set(request, body)
    response.once('close', () => { this.inProgress -= 1 })
    const bodyBytes = Number(request.headers['content-length'] ?? 0)
    const hasRoom = this.inProgress <= maxRequests && reserveRequest(budget, request, response) && body.resize(bodyBytes, holdingOfBody(bodyBytes))
    return hasRoom ? undefined : this.describeOverload()
  }

  /** Reserves a body in chunks as it arrives; closes the connection if there is no room for it. */
  reserveChunks (request: IncomingMessage): void {
    const body = this.bodies.get(request)
    if (request.headers['transfer-encoding'] === undefined || body === undefined) {
      return
    }
    let bytes = 0
    request.on('data', (chunk: Buffer | string) => {
      bytes += chunk.length
      if (!body.resize(bytes, holdingOfBody(bytes))) {
        request.destroy()
      }
    })
  }

  private describeOverload (): Failure {
    return Failure.notRun(FailureCode.Overloaded, 'This instance has no memory or connections for further requests.', earliestRetryTime(FailureCode.Overloaded, this.clock.now()))
  }
}
