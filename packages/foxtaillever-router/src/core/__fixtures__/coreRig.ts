/** The router core with engines whose every event is scripted by the test. */
import {
  AdministrativeState, emptyConfiguration, EnginePath, Failure, FailureCode, ListedKind, ListedState, PriorityClass, SeededRandom, ServerKind, Verdict,
  type Configuration, type Engine, type GenerateCall, type GenerateListener, type GenerateStream, type ResumeCall
} from 'foxtaillever-core'
import { createTextPrompt } from 'foxtaillever-core/hashPrompt'
import { Grant, type ClaimRequest } from 'foxtaillever-fleet'
import { VirtualClock } from 'foxtaillever-testing'
import { Left, Right, type Either } from 'purify-ts'
import type { Claims } from '../claims.js'
import { Invariants } from '../invariants.js'
import type { Responder, Submission } from '../request.js'
import { RouterCore } from '../routerCore.js'

/** One connection that the core opened. */
export interface OpenedConnection {
  readonly server: string
  readonly call: GenerateCall | ResumeCall
  readonly isResume: boolean
  readonly listener: GenerateListener
}

export class CoreRig {
  readonly clock = VirtualClock.create()
  readonly opened: OpenedConnection[] = []
  readonly cancelled: string[] = []
  readonly recordedOutcomes: Verdict[] = []
  /** Answer of the log to a claim. */
  claimResult: (request: ClaimRequest) => Either<Failure, Grant> = request => Right(Grant.create(request, 1, request.deadline))
  readonly core: RouterCore

  private constructor (servers: readonly string[]) {
    const claims: Claims = {
      claim: request => Promise.resolve(this.claimResult(request)),
      cancel: () => {},
      settle: (_, verdict) => { this.recordedOutcomes.push(verdict) }
    }
    this.core = RouterCore.create({
      clock: this.clock,
      random: SeededRandom.create(5),
      failureDomain: 'recife',
      engineOf: ({ name }) => this.engineOf(name),
      claims,
      invariants: Invariants.create({ isFatal: true, onViolation: () => {} })
    })
    this.core.configure(configurationOf(servers))
    this.core.applyInstanceList(servers.map(name => ({ name, kind: ListedKind.BackendServer, address: name, failureDomain: 'recife', state: ListedState.Live })))
    this.core.start()
  }

  static create (...servers: string[]): CoreRig {
    return new CoreRig(servers)
  }

  private engineOf (server: string): Engine {
    const open = (call: GenerateCall | ResumeCall, isResume: boolean, listener: GenerateListener): GenerateStream => {
      this.opened.push({ server, call, isResume, listener })
      return { cancel: () => this.cancelled.push(call.requestId), detach: () => {}, pause: () => {}, resume: () => {} }
    }
    return {
      generate: (call, listener) => open(call, false, listener),
      resume: (call, listener) => open(call, true, listener),
      cancel: id => { this.cancelled.push(id) },
      load: () => Promise.resolve(Left(Failure.notRun(FailureCode.ConnectionLost, 'No report.')))
    }
  }

  /** The connection that was opened last. */
  lastOpened (): OpenedConnection {
    const opened = this.opened.at(-1)
    if (!opened) {
      throw new Error('Nothing was sent.')
    }
    return opened
  }

  submit (id: string, changes: Partial<Submission['job']> = {}): RecordingCaller {
    const caller = new RecordingCaller()
    const prompt = createTextPrompt(`order of ${id}`)
    this.core.submit({
      prompt,
      path: EnginePath.Completions,
      body: { prompt: prompt.text },
      idempotencyKey: changes.idempotent === false ? '1764707421000-order' : '',
      job: {
        id,
        account: 'cooperative',
        model: 'order-language',
        priority: PriorityClass.Standard,
        idempotent: true,
        arrivedAt: this.clock.now(),
        deadline: this.clock.now() + 5000,
        levels: prompt.levels,
        promptTokens: prompt.tokens,
        maxTokens: 4,
        fingerprint: id,
        ...changes
      }
    }, caller)
    return caller
  }

  async advance (milliseconds = 30): Promise<void> {
    await this.clock.advanceBy(milliseconds)
  }
}

/** Records what a caller receives. */
export class RecordingCaller implements Responder {
  readonly received: string[] = []
  failure: Failure | undefined

  started (): void {
    this.received.push('started')
  }

  moved (): void {
    this.received.push('moved')
  }

  token (sequence: number): boolean {
    this.received.push(`token ${sequence}`)
    return true
  }

  finished (): void {
    this.received.push('finished')
  }

  failed (failure: Failure): void {
    this.failure = failure
    this.received.push(`${failure.code} ${failure.verdict}`)
  }
}

export function startOf (incarnation: string, streamId = 'stream-1', weightsVersion = 'v1') {
  return { incarnation, streamId, weightsVersion, promptTokens: 4, cachedTokens: 0 }
}

export function endOf (tokens: number) {
  return { finishReason: 'length', promptTokens: 4, cachedTokens: 0, completionTokens: tokens }
}

export const connectionLost = Failure.create(FailureCode.ConnectionLost, Verdict.MayHaveRun, 'The connection was lost.')
export const connectionRefused = Failure.notRun(FailureCode.ConnectionRefused, 'The connection was refused.')
export const unknownStream = Failure.create(FailureCode.StreamBroken, Verdict.MayHaveRun, 'No such stream.')

export function configurationOf (servers: readonly string[]): Configuration {
  return {
    ...emptyConfiguration,
    revision: 1,
    accounts: { cooperative: { name: 'cooperative', keyDigests: [], weight: 1, priority: PriorityClass.Standard, tokensPerSecond: 1_000_000, concurrentRequests: 100 } },
    models: { 'order-language': { name: 'order-language', weightsVersion: 'v1', adapters: [] } },
    servers: Object.fromEntries(servers.map(name => [name, {
      name,
      kind: ServerKind.Language,
      address: name,
      failureDomain: 'recife',
      models: ['order-language'],
      slots: 4,
      prefillTokensPerSecond: 20_000,
      decodeTokensPerSecond: 50,
      cacheTokens: 4096,
      checksFencing: false,
      checksCaller: false,
      state: AdministrativeState.InService
    }]))
  }
}
