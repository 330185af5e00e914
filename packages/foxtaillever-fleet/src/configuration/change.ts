/**
 * Typed changes of configuration, as they stand in the log.
 */
import { PresetName, type BackendServer, type ClientAccount, type Configuration, type Model, type PlainService, type Preset } from 'foxtaillever-core'
import type { AcceptedRevision } from './foldedConfiguration.js'

export enum ChangeKind {
  PutAccount = 'put-account',
  RemoveAccount = 'remove-account',
  PutServer = 'put-server',
  RemoveServer = 'remove-server',
  PutModel = 'put-model',
  RemoveModel = 'remove-model',
  PutService = 'put-service',
  RemoveService = 'remove-service',
  PutPreset = 'put-preset',
  SwitchPreset = 'switch-preset'
}

export type Change =
  | { readonly kind: ChangeKind.PutAccount, readonly account: ClientAccount }
  | { readonly kind: ChangeKind.RemoveAccount, readonly name: string }
  | { readonly kind: ChangeKind.PutServer, readonly server: BackendServer }
  | { readonly kind: ChangeKind.RemoveServer, readonly name: string }
  | { readonly kind: ChangeKind.PutModel, readonly model: Model }
  | { readonly kind: ChangeKind.RemoveModel, readonly name: string }
  | { readonly kind: ChangeKind.PutService, readonly service: PlainService }
  | { readonly kind: ChangeKind.RemoveService, readonly name: string }
  | { readonly kind: ChangeKind.PutPreset, readonly preset: Preset }
  | { readonly kind: ChangeKind.SwitchPreset, readonly name: PresetName }

/** Body of a configuration record. */
export interface ConfigurationRecord {
  /** Revision the author saw; the fold refuses the record when it is no longer in force. */
  readonly base: number
  readonly author: string
  readonly changes: readonly Change[]
}

/** Body of a snapshot record: the whole configuration, revision included. */
export interface SnapshotRecord {
  readonly configuration: Configuration
  /** Every record up to this offset is folded in; later ones must be folded on top. */
  readonly offset?: number
  readonly digest?: string
  readonly history?: readonly AcceptedRevision[]
}

function without<Entry> (entries: Readonly<Record<string, Entry>>, name: string): Readonly<Record<string, Entry>> {
  const { [name]: _, ...rest } = entries
  return rest
}

type ChangeHandlers = { [Kind in ChangeKind]: (configuration: Configuration, change: Extract<Change, { kind: Kind }>) => Configuration }

const handlers: ChangeHandlers = {
  [ChangeKind.PutAccount]: (configuration, { account }) => ({ ...configuration, accounts: { ...configuration.accounts, [account.name]: account } }),
  [ChangeKind.RemoveAccount]: (configuration, { name }) => ({ ...configuration, accounts: without(configuration.accounts, name) }),
  [ChangeKind.PutServer]: (configuration, { server }) => ({ ...configuration, servers: { ...configuration.servers, [server.name]: server } }),
  [ChangeKind.RemoveServer]: (configuration, { name }) => ({ ...configuration, servers: without(configuration.servers, name) }),
  [ChangeKind.PutModel]: (configuration, { model }) => ({ ...configuration, models: { ...configuration.models, [model.name]: model } }),
  [ChangeKind.RemoveModel]: (configuration, { name }) => ({ ...configuration, models: without(configuration.models, name) }),
  [ChangeKind.PutService]: (configuration, { service }) => ({ ...configuration, services: { ...configuration.services, [service.name]: service } }),
  [ChangeKind.RemoveService]: (configuration, { name }) => ({ ...configuration, services: without(configuration.services, name) }),
  [ChangeKind.PutPreset]: (configuration, { preset }) => ({ ...configuration, presets: { ...configuration.presets, [preset.name]: preset } }),
  [ChangeKind.SwitchPreset]: (configuration, { name }) => ({ ...configuration, presetInForce: name })
}

/** What a change has to name before it is applied; checked alike by every reader. */
const subjects: Record<ChangeKind, (change: Change) => unknown> = {
  [ChangeKind.PutAccount]: change => (change as { account?: ClientAccount }).account?.name,
  [ChangeKind.RemoveAccount]: change => (change as { name?: string }).name,
  [ChangeKind.PutServer]: change => (change as { server?: BackendServer }).server?.name,
  [ChangeKind.RemoveServer]: change => (change as { name?: string }).name,
  [ChangeKind.PutModel]: change => (change as { model?: Model }).model?.name,
  [ChangeKind.RemoveModel]: change => (change as { name?: string }).name,
  [ChangeKind.PutService]: change => (change as { service?: PlainService }).service?.name,
  [ChangeKind.RemoveService]: change => (change as { name?: string }).name,
  [ChangeKind.PutPreset]: change => (change as { preset?: Preset }).preset?.name,
  [ChangeKind.SwitchPreset]: change => (change as { name?: string }).name
}

const presetKinds: ReadonlySet<string> = new Set([ChangeKind.PutPreset, ChangeKind.SwitchPreset])
const presetNames: ReadonlySet<unknown> = new Set(Object.values(PresetName))

/**
 * Whether a change can be applied at all. A record that names no such kind,
 * entry or preset would leave every instance without a preset in force at the
 * same moment; it is refused by all of them instead.
 */
export function isApplicable (change: Change): boolean {
  const subject = subjects[change?.kind]?.(change)
  if (typeof subject !== 'string' || subject === '') {
    return false
  }
  return !presetKinds.has(change.kind) || presetNames.has(subject)
}

export function applyChange (configuration: Configuration, change: Change): Configuration {
  const handler = handlers[change.kind] as (configuration: Configuration, change: Change) => Configuration
  return handler(configuration, change)
}
