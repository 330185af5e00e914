/** Sends orders to backend servers and reads their state, over HTTP. */
import { EngineHeader, EnginePath, Failure, FailureCode, Verdict, type EngineOrder, type EngineState } from 'foxtaillever-core'
import type { OrderPort } from 'foxtaillever-fleet'
import { Left, Right, type Either } from 'purify-ts'
import type { Dispatcher } from 'undici'
import { createServerAgent, requestText } from './boundedAnswer.js'
import { isBeforeFirstByte } from './isBeforeFirstByte.js'

/** Identifies this system, not the instance, to servers that check the sender of an order. */
const CALLER = 'foxtaillever'

const ANSWER_TIMEOUT_MS = 2000

const STATUS_OK = 200

export class OrderClient implements OrderPort {
  private readonly agent = createServerAgent()

  private constructor (private readonly addressOf: (server: string) => string | undefined) {}

  static create (addressOf: (server: string) => string | undefined): OrderClient {
    return new OrderClient(addressOf)
  }

  async fetchState (server: string): Promise<Either<Failure, EngineState>> {
    const answer = await this.call(server, EnginePath.State, { method: 'GET' })
    return answer.map(body => body as EngineState)
  }

  /** Connects first, so that no wait for a connection lies between the check of the lease and the first byte. */
  async sendOrder (server: string, order: EngineOrder, fence: () => Either<Failure, number>): Promise<Either<Failure, void>> {
    const reachable = await this.call(server, EnginePath.State, { method: 'GET' })
    if (reachable.isLeft()) {
      return reachable.map(() => undefined)
    }
    const held = fence()
    if (held.isLeft()) {
      return held.map(() => undefined)
    }
    const headers = {
      'content-type': 'application/json',
      [EngineHeader.Caller]: CALLER,
      [EngineHeader.Fence]: String(held.orDefault(0))
    }
    const answer = await this.call(server, EnginePath.Orders, { method: 'POST', headers, body: JSON.stringify(order) })
    return answer.map(() => undefined)
  }

  private async call (server: string, path: EnginePath, options: { method: Dispatcher.HttpMethod, headers?: Record<string, string>, body?: string }): Promise<Either<Failure, unknown>> {
    const address = this.addressOf(server)
    if (address === undefined) {
      return Left(Failure.notRun(FailureCode.NoBackendServer, `There is no backend server ${server}.`))
    }
    try {
      const { status, headers, text } = await requestText(this.agent, { origin: `http://${address}`, path, ...options }, ANSWER_TIMEOUT_MS, ANSWER_TIMEOUT_MS)
      if (status === STATUS_OK) {
        return Right(JSON.parse(text) as unknown)
      }
      const verdict = headers[EngineHeader.Verdict] === Verdict.NotRun ? Verdict.NotRun : Verdict.MayHaveRun
      return Left(Failure.create(FailureCode.BackendServerRefused, verdict, `Backend server ${server} refused: ${text.slice(0, 200)}`))
    } catch (error) {
      const verdict = isBeforeFirstByte(error) ? Verdict.NotRun : Verdict.MayHaveRun
      return Left(Failure.create(FailureCode.ConnectionLost, verdict, `Backend server ${server} does not answer.`))
    }
  }
}
