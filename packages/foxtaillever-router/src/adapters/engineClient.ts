/** A model engine over HTTP and server-sent events. */
import {
  EngineHeader, EnginePath, Failure, FailureCode, PriorityClass,
  type Engine, type GenerateCall, type GenerateListener, type GenerateStream, type LoadReport, type ResumeCall
} from 'foxtaillever-core'
import { Left, Right, type Either } from 'purify-ts'
import { Pool } from 'undici'
import { StreamHandler } from './streamHandler.js'

/** Connections to one engine at most; each stream holds one. */
const CONNECTIONS = 256

const LOAD_ANSWER_MS = 1000
const CONNECT_MS = 1000

/** Silence on a stream after which it counts as lost, milliseconds. */
const SILENCE_MS = 30_000

/** Engines run lower numbers first. */
const enginePriorities: Record<string, string> = {
  [PriorityClass.Priority]: '0',
  [PriorityClass.Standard]: '1',
  [PriorityClass.Bulk]: '2'
}

export class EngineClient implements Engine {
  private constructor (private readonly pool: Pool) {}

  static create (address: string): EngineClient {
    return new EngineClient(new Pool(`http://${address}`, {
      connections: CONNECTIONS,
      connect: { timeout: CONNECT_MS },
      headersTimeout: SILENCE_MS,
      bodyTimeout: SILENCE_MS
    }))
  }

  generate (call: GenerateCall, listener: GenerateListener): GenerateStream {
    const handler = StreamHandler.create(listener, () => this.cancel(call.requestId))
    this.pool.dispatch({
      method: 'POST',
      path: call.path,
      headers: headersOf(call),
      body: JSON.stringify(call.body)
    }, handler)
    return handler
  }

  resume (call: ResumeCall, listener: GenerateListener): GenerateStream {
    const handler = StreamHandler.create(listener, () => this.cancel(call.requestId))
    const query = new URLSearchParams({ after: String(call.after), form: call.path, request: call.requestId, model: call.model })
    this.pool.dispatch({ method: 'GET', path: `${EnginePath.Streams}/${encodeURIComponent(call.streamId)}?${query}` }, handler)
    return handler
  }

  cancel (id: string): void {
    this.pool.request({ method: 'POST', path: `${EnginePath.Cancel}/${encodeURIComponent(id)}` })
      .then(answer => answer.body.dump())
      // An engine that cannot be told is gone, and its work with it.
      .catch(() => {})
  }

  async load (): Promise<Either<Failure, LoadReport>> {
    try {
      const answer = await this.pool.request({ method: 'GET', path: EnginePath.Load, headersTimeout: LOAD_ANSWER_MS, bodyTimeout: LOAD_ANSWER_MS })
      return Right(await answer.body.json() as LoadReport)
    } catch {
      return Left(Failure.notRun(FailureCode.ConnectionLost, 'The engine does not report its load.'))
    }
  }

  /** Closes once its streams are over. */
  finish (): void {
    // A failure here is one of the streams', which hear of it themselves.
    this.pool.close().catch(() => {})
  }

  async close (): Promise<void> {
    await this.pool.destroy()
  }
}

function headersOf (call: GenerateCall): Record<string, string> {
  const headers: Record<string, string> = {
    'content-type': 'application/json',
    [EngineHeader.RequestId]: call.requestId,
    [EngineHeader.Account]: call.account,
    [EngineHeader.ExpectedWeights]: call.weightsVersion,
    [EngineHeader.Priority]: enginePriorities[call.priority] ?? '1',
    [EngineHeader.Deadline]: String(Math.floor(call.deadline))
  }
  if (call.expectedIncarnation !== '') {
    headers[EngineHeader.ExpectedIncarnation] = call.expectedIncarnation
  }
  if (call.idempotencyKey !== '') {
    headers[EngineHeader.IdempotencyKey] = call.idempotencyKey
  }
  if (call.continueAfter > 0) {
    headers[EngineHeader.ContinueAfter] = String(call.continueAfter)
  }
  return headers
}
