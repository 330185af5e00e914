/** Client of a model engine over HTTP and server-sent events. */
import {
  EngineHeader, EnginePath, Failure, FailureCode, PriorityClass,
  type Clock, type Engine, type GenerateCall, type GenerateListener, type GenerateStream, type LoadReport, type ResumeCall
} from 'foxtaillever-core'
import { callServer, type WholeAnswer } from 'foxtaillever-relay/servers/callServer'
import { ServerConnections, type ServerCall } from 'foxtaillever-relay/servers/serverConnections'
import { Either } from 'purify-ts'
import { StreamHandler } from './streamHandler.js'

/** Maximum connections to one engine; each stream uses one, which the next stream reuses. */
const MAX_CONNECTIONS = 256

/** Timeout of load queries and cancels, milliseconds. */
const ANSWER_TIMEOUT_MS = 1000

/** Longest load report or answer to a cancel, bytes. */
const MAX_ANSWER_BYTES = 1024 * 1024

const noBody = Buffer.alloc(0)

/** Engines run lower numbers first. */
const enginePriorities: Record<string, string> = {
  [PriorityClass.Priority]: '0',
  [PriorityClass.Standard]: '1',
  [PriorityClass.Bulk]: '2'
}

export class EngineClient implements Engine {
  private constructor (private readonly address: string, private readonly clock: Clock, private readonly connections: ServerConnections) {}

  static create (address: string, clock: Clock): EngineClient {
    return new EngineClient(address, clock, ServerConnections.create({ address, part: { total: MAX_CONNECTIONS, idle: MAX_CONNECTIONS } }))
  }

  generate (call: GenerateCall, listener: GenerateListener): GenerateStream {
    const body = Buffer.from(JSON.stringify(call.body))
    return this.open(call.requestId, this.createCall('POST', call.path, body, headersOf(call)), listener)
  }

  resume (call: ResumeCall, listener: GenerateListener): GenerateStream {
    const query = new URLSearchParams({ after: String(call.after), form: call.path, request: call.requestId, model: call.model })
    return this.open(call.requestId, this.createCall('GET', `${EnginePath.Streams}/${encodeURIComponent(call.streamId)}?${query}`), listener)
  }

  cancel (id: string): void {
    // A failure is ignored: an engine that cannot be reached has lost its work as well.
    this.callEngine(this.createCall('POST', `${EnginePath.Cancel}/${encodeURIComponent(id)}`))
  }

  async load (): Promise<Either<Failure, LoadReport>> {
    const answer = await this.callEngine(this.createCall('GET', EnginePath.Load))
    return answer
      .chain(({ body }) => Either.encase(() => JSON.parse(body.toString('utf8')) as LoadReport))
      .mapLeft(() => Failure.notRun(FailureCode.ConnectionLost, 'The engine does not report its load.'))
  }

  /** Keeps no idle connections from now on; open streams are completed. */
  closeGracefully (): void {
    this.connections.close()
  }

  private open (requestId: string, call: ServerCall, listener: GenerateListener): GenerateStream {
    const { clock, connections } = this
    return StreamHandler.create({ clock, connections, requestId, call, listener, cancelAtEngine: () => this.cancel(requestId) })
  }

  private async callEngine (call: ServerCall): Promise<Either<Failure, WholeAnswer>> {
    return await callServer(this.connections, call, { clock: this.clock, deadline: this.clock.now() + ANSWER_TIMEOUT_MS, maxBytes: MAX_ANSWER_BYTES })
  }

  private createCall (method: string, path: string, body = noBody, headers: Readonly<Record<string, string>> = {}): ServerCall {
    const length = method === 'GET' ? [] : ['content-length', String(body.length)]
    return { method, path, body, headers: ['host', this.address, ...Object.entries(headers).flat(), ...length] }
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
