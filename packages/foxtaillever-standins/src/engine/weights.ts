/** Models, adapters and weights that a stand-in engine has loaded, and the identity they give its cached blocks. */
import { EngineRole, Failure, FailureCode, OrderKind, type CacheIdentity, type EngineOrder } from 'foxtaillever-core'
import { Left, Right, type Either } from 'purify-ts'
import type { EngineOptions, Generation } from './generation.js'

interface Loaded {
  readonly models: readonly string[]
  readonly version: string
  readonly adapters: readonly string[]
  readonly role: EngineRole
}

type OrderHandlers = { [Kind in OrderKind]: (loaded: Loaded, order: Extract<EngineOrder, { kind: Kind }>) => Loaded }

const handlers: OrderHandlers = {
  [OrderKind.LoadModel]: (loaded, order) => ({ ...loaded, models: [order.model], version: order.weightsVersion, adapters: [] }),
  [OrderKind.LoadVersion]: (loaded, order) => ({ ...loaded, version: order.weightsVersion }),
  [OrderKind.LoadAdapter]: (loaded, order) => ({ ...loaded, adapters: [...new Set([...loaded.adapters, order.adapter])] }),
  [OrderKind.ChangeRole]: (loaded, order) => ({ ...loaded, role: order.role })
}

/** Splits `model:adapter`. */
function splitModel (name: string): { model: string, adapter: string } {
  const [model = '', adapter = ''] = name.split(':')
  return { model, adapter }
}

export class Weights {
  private loaded: Loaded

  private constructor (private readonly options: EngineOptions) {
    this.loaded = createInitialState(options)
  }

  static create (options: EngineOptions): Weights {
    return new Weights(options)
  }

  /** Goes back to the configured weights, as a restart does; orders carried out since are lost. */
  reset (): void {
    this.loaded = createInitialState(this.options)
  }

  models (): readonly string[] {
    return this.loaded.models
  }

  version (): string {
    return this.loaded.version
  }

  adapters (): readonly string[] {
    return this.loaded.adapters
  }

  role (): EngineRole {
    return this.loaded.role
  }

  /** Carries out an order; true if it invalidates the whole cache. */
  apply (order: EngineOrder): boolean {
    const handler = handlers[order.kind] as (loaded: Loaded, order: EngineOrder) => Loaded
    this.loaded = handler(this.loaded, order)
    return order.kind !== OrderKind.LoadAdapter
  }

  check (generation: Generation): Either<Failure, void> {
    const refuse = (code: FailureCode, message: string): Either<Failure, void> => Left(Failure.notRun(code, message))
    const { model, adapter } = splitModel(generation.model)
    if (!this.loaded.models.includes(model)) {
      return refuse(FailureCode.UnknownModel, `Model ${model} is not loaded here.`)
    }
    if (adapter !== '' && !this.loaded.adapters.includes(adapter)) {
      return refuse(FailureCode.UnknownModel, `Adapter ${adapter} is not loaded here.`)
    }
    if (generation.expectedWeights !== '' && generation.expectedWeights !== this.loaded.version) {
      return refuse(FailureCode.Stale, `Weights ${this.loaded.version} are loaded here.`)
    }
    if (this.loaded.role === EngineRole.Prefill && generation.maxTokens > 1) {
      return refuse(FailureCode.BackendServerRefused, 'This engine takes prefill only.')
    }
    return Right(undefined)
  }

  /** Identity of the blocks that a request caches; account and model are empty without a request. */
  identity (generation: Generation | undefined, incarnation: string): CacheIdentity {
    return {
      account: generation?.account ?? '',
      ...splitModel(generation?.model ?? ''),
      weightsVersion: this.loaded.version,
      incarnation
    }
  }

  /** Hash salt that isolates cached blocks by account, model, adapter and version. */
  salt (owner: { readonly account: string, readonly model: string }): string {
    return `${owner.account}/${owner.model}/${this.loaded.version}`
  }
}

function createInitialState (options: EngineOptions): Loaded {
  return {
    models: options.models,
    version: options.weightsVersion,
    adapters: options.adapters ?? [],
    role: options.role ?? EngineRole.Mixed
  }
}
