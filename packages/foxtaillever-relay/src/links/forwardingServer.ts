/**
 * Carries requests of other instances to backend servers that they do not reach. The
 * server's answer goes back as it arrives; a failure goes back as what it proves. What
 * a server has asked of this instance holds for these requests too.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Clock } from 'foxtaillever-core'
import { holdingOfBody, type ProcessBudget } from 'foxtaillever-policy/relay/processBudget'
import { Attempt } from '../attempts/attempt.js'
import { AttemptFailureKind, mayBeCrash, type AttemptFailure } from '../attempts/attemptFailure.js'
import { reserveRequest, reserveUntilAnswered } from '../callers/reserveRequest.js'
import type { CrashProtocol } from '../crashes/crashProtocol.js'
import { ExchangeEnd } from '../exchange/exchangeEnd.js'
import { StepGuard } from '../attempts/stepGuard.js'
import type { AnswerWire } from '../model/wire.js'
import type { KnownServer } from '../servers/knownServer.js'
import { boundBody, hasBody } from '../servers/byteBounds.js'
import { ByteCollector } from '../servers/byteCollector.js'
import { reachableFrom } from '../servers/serverAvailability.js'
import type { ServerDirectory } from '../servers/serverDirectory.js'
import { ByteSource, type RelayLog } from '../telemetry/relayLog.js'
import { answeredHeaders, failureHeaders, FAILURE_STATUS, omitForwarding, PROBE_PATH, readForwarding, type ForwardingRequest } from './forwardingMessage.js'
import { Suspicion } from './linkCheck.js'
import type { LinkMonitor } from './linkMonitor.js'
import { ProbeFinding } from './peerProbes.js'

/** Requests that one instance carries at the same time, some ten kilobytes each: they must not crowd out its own. */
const MAX_CARRIED = 256

/** Outcome of a request whose call closed before the answer was complete, by the instance that asked or because this one stops. */
const CANCELLED = 'cancelled'

/** Outcome of a request that an unexpected error ended. */
const UNEXPECTED_ERROR = 'unexpected error'

/** The body of a call of another instance is read for this long, milliseconds: 1 MB takes 0.8 s at 10 Mbit/s. */
const BODY_TIMEOUT_MS = 3000

/** Longest body of a call that carries no request, bytes; the record of a lease has at most 1000. */
const MAX_CALL_BODY_BYTES = 16 * 1024

export interface ForwardingServerOptions {
  readonly clock: Clock
  readonly wire: AnswerWire
  readonly connectTimeoutMs: number
  readonly directory: () => Pick<ServerDirectory, 'getByHash' | 'recordHeard' | 'recordBroken'>
  readonly monitor: Pick<LinkMonitor, 'brokenSince' | 'findFor' | 'suspect'>
  readonly log: Pick<RelayLog, 'carried' | 'bodyExceeded' | 'stepFailed'>
  readonly crashes: Pick<CrashProtocol, 'findQuarantine' | 'recordLoss'>
  /** Whether an instance of the fleet has the address. */
  readonly isMember: (address: string) => boolean
  /** Longest body of a request that is accepted, bytes. */
  readonly maxBodyBytes: () => number
  /** What callers and other instances may make the process hold. */
  readonly budget: ProcessBudget
}

export class ForwardingServer {
  /** Requests of other instances that are in flight. */
  private carried = 0

  private constructor (private readonly options: ForwardingServerOptions) {}

  static create (options: ForwardingServerOptions): ForwardingServer {
    return new ForwardingServer(options)
  }

  /** Handles a call of another instance, and bounds the body of any call. @returns whether it is a call of this protocol. */
  handle (request: IncomingMessage, response: ServerResponse): boolean {
    const forwarding = readForwarding(request.headers)
    if (forwarding) {
      const steps = StepGuard.create(error => this.endAfterError(forwarding, error, false, response))
      steps.run(() => {
        this.boundCall(request, this.options.maxBodyBytes())
        this.forward(forwarding, request, response, steps)
      }, undefined)
      return true
    }
    this.boundCall(request, MAX_CALL_BODY_BYTES)
    const { pathname, searchParams } = new URL(request.url ?? '', 'http://peer')
    if (pathname !== PROBE_PATH) {
      return false
    }
    this.options.monitor.findFor(Number(searchParams.get('server'))).then(finding => response.end(finding), () => response.end(ProbeFinding.Unknown))
    return true
  }

  private boundCall (request: IncomingMessage, maxBytes: number): void {
    const { clock, log } = this.options
    if (hasBody(request)) {
      const from = request.socket.remoteAddress ?? ''
      boundBody(request, { clock, maxBytes, deadline: clock.now() + BODY_TIMEOUT_MS }, excess => log.bodyExceeded(ByteSource.Instance, from, excess))
    }
  }

  private forward (forwarding: ForwardingRequest, request: IncomingMessage, response: ServerResponse, steps: StepGuard): void {
    const { isMember, directory } = this.options
    const server = directory().getByHash(forwarding.server)
    const refusal = !isMember(forwarding.from) || hostOf(forwarding.from) !== request.socket.remoteAddress ? 'not a request of the fleet' : this.findRefusal(server)
    if (server === undefined || refusal !== undefined) {
      request.resume()
      this.reportFailure(response, { kind: AttemptFailureKind.Unreachable, detail: refusal ?? 'unknown server' })
      return
    }
    if (!this.reserve(request, response)) {
      request.resume()
      this.reportFailure(response, { kind: AttemptFailureKind.Unreachable, detail: 'no memory for requests of other instances' })
      return
    }
    this.carried += 1
    response.once('close', () => { this.carried -= 1 })
    const body = ByteCollector.create()
    request.on('data', (chunk: Buffer) => { body.add(chunk) })
    request.on('error', () => {})
    request.on('end', steps.wrap(() => this.send(forwarding, server, request, body.bytes, response)))
  }

  /** Reserves the request and its body until it is answered; returns whether there is room. */
  private reserve (request: IncomingMessage, response: ServerResponse): boolean {
    const { budget } = this.options
    const bodyBytes = Number(request.headers['content-length'] ?? 0)
    const holding = holdingOfBody(bodyBytes)
    return reserveRequest(budget, request, response) && reserveUntilAnswered(budget, holding, response).resize(bodyBytes)
  }

  /** Why this instance does not send a request to the server now; undefined if it does. */
  private findRefusal (server: KnownServer | undefined): string | undefined {
    const { clock, monitor } = this.options
    if (server === undefined) {
      return 'unknown server'
    }
    if (this.carried >= MAX_CARRIED) {
      return 'too many requests of other instances'
    }
    // The asking instance has counted the request against a limit that the server stated.
    if (Math.max(reachableFrom(server), server.stated.opensAt) > clock.now()) {
      return 'the server takes no requests'
    }
    return monitor.brokenSince(server) === undefined ? undefined : 'out of reach here too'
  }

  private send ({ requestId, from, causes }: ForwardingRequest, server: KnownServer, { method = '', url = '', rawHeaders }: IncomingMessage, body: Buffer, response: ServerResponse): void {
    const { clock, wire, connectTimeoutMs, directory, log, crashes } = this.options
    const beganAt = clock.now()
    let answeredAt: number | undefined
    let bytesPassed = 0
    let isOver = false
    const finish = (outcome: string): void => {
      if (!isOver) {
        isOver = true
        const now = clock.now()
        log.carried({ request: requestId, from, server: server.listed.id, outcome, ms: Math.round(now - beganAt), bytes: bytesPassed, answeringMs: answeredAt === undefined ? undefined : Math.round(now - answeredAt) })
      }
    }
    const attempt = Attempt.begin({
      clock,
      wire,
      connections: server.connections,
      requestId,
      connectTimeoutMs,
      call: { method, path: url, headers: omitConnection(omitForwarding(rawHeaders)), body },
      listener: {
        maySend: () => crashes.findQuarantine(causes) === undefined,
        onHead: ({ status, headers, at }) => {
          answeredAt = at
          response.writeHead(status, [...headers, ...answeredHeaders])
        },
        onData: bytes => {
          directory().recordHeard(server)
          bytesPassed += bytes.length
          if (!response.write(bytes)) {
            attempt.pause()
          }
        },
        onEnd: () => {
          response.end()
          finish(ExchangeEnd.Answered)
        },
        onFailed: failure => {
          const lostAt = clock.now()
          if (failure.kind === AttemptFailureKind.Lost) {
            directory().recordBroken(server)
          }
          const { hash, brokenAt, listed: { service } } = server
          this.suspectServer(server, failure, beganAt, () => crashes.recordLoss(causes, { service, server: hash, sentAt: beganAt, brokenAt, lostAt, answeredAt, hasEnded: server.refusedConnectionAt >= brokenAt }))
          finish(failure.kind)
          this.reportFailure(response, failure)
        },
        onError: error => {
          finish(UNEXPECTED_ERROR)
          this.endAfterError({ requestId }, error, attempt.mayHaveArrived, response)
        }
      }
    })
    response.on('drain', () => attempt.resume())
    response.on('close', () => {
      if (!response.writableFinished) {
        attempt.cancel()
        finish(CANCELLED)
      }
    })
  }

  /** The failure may be due to this instance's own links. */
  private suspectServer (server: KnownServer, failure: AttemptFailure, beganAt: number, onCrashed: () => void): void {
    const { kind } = failure
    const { monitor } = this.options
    if (kind === AttemptFailureKind.Unreachable) {
      monitor.suspect(server, Suspicion.Unreachable, beganAt)
    } else if (kind === AttemptFailureKind.Lost) {
      monitor.suspect(server, Suspicion.Unresponsive, beganAt, mayBeCrash(failure) ? { onNotReached: onCrashed } : {})
    }
  }

  /** Ends a request after a step of it threw. Nothing is reported of one that was sent, which then may have run. */
  private endAfterError ({ requestId }: Pick<ForwardingRequest, 'requestId'>, error: unknown, mayHaveArrived: boolean, response: ServerResponse): void {
    this.options.log.stepFailed({ id: requestId }, error)
    if (mayHaveArrived) {
      response.destroy()
    } else {
      this.reportFailure(response, { kind: AttemptFailureKind.Unreachable, detail: UNEXPECTED_ERROR })
    }
  }

  /** An answer that was begun is cut, so that it does not look complete. */
  private reportFailure (response: ServerResponse, failure: AttemptFailure): void {
    if (response.headersSent) {
      response.destroy()
      return
    }
    response.writeHead(FAILURE_STATUS, [...failureHeaders(failure), 'Content-Length', '0'])
    response.end()
  }
}

function hostOf (address: string): string {
  return address.slice(0, address.lastIndexOf(':'))
}

/** Removes the header that applies only to the connection between the instances. */
function omitConnection (rawHeaders: readonly string[]): string[] {
  return rawHeaders.filter((_, index) => (rawHeaders[index - index % 2] ?? '').toLowerCase() !== 'connection')
}
