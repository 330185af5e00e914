/**
 * Typed changes of configuration, as records of the log contain them.
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
  /** The revision that the author saw; the fold refuses the record if another revision is in force by then. */
  readonly base: number
  readonly author: string
  readonly changes: readonly Change[]
}

/** Body of a snapshot record: the whole configuration, revision included. */
export interface SnapshotRecord {
  readonly configuration: Configuration
  /** All records up to this offset are folded in; later records must be folded on top. */
  readonly offset?: number
  readonly digest?: string
  readonly history?: readonly AcceptedRevision[]
}

/**
 * A mutable copy of a configuration, to which one record's changes are applied.
 * Tables are copied once per record: with a copy per change, a first record of
 * thousands of entries would block the event loop for seconds.
 */
interface Draft {
  readonly accounts: Record<string, ClientAccount>
  readonly servers: Record<string, BackendServer>
  readonly models: Record<string, Model>
  readonly services: Record<string, PlainService>
  readonly presets: Record<PresetName, Preset>
  presetInForce: PresetName
}

function createDraft ({ accounts, servers, models, services, presets, presetInForce }: Configuration): Draft {
  return { accounts: { ...accounts }, servers: { ...servers }, models: { ...models }, services: { ...services }, presets: { ...presets }, presetInForce }
}

type ChangeHandlers = { [Kind in ChangeKind]: (draft: Draft, change: Extract<Change, { kind: Kind }>) => void }

const handlers: ChangeHandlers = {
  [ChangeKind.PutAccount]: (draft, { account }) => { draft.accounts[account.name] = account },
  [ChangeKind.RemoveAccount]: (draft, { name }) => { delete draft.accounts[name] },
  [ChangeKind.PutServer]: (draft, { server }) => { draft.servers[server.name] = server },
  [ChangeKind.RemoveServer]: (draft, { name }) => { delete draft.servers[name] },
  [ChangeKind.PutModel]: (draft, { model }) => { draft.models[model.name] = model },
  [ChangeKind.RemoveModel]: (draft, { name }) => { delete draft.models[name] },
  [ChangeKind.PutService]: (draft, { service }) => { draft.services[service.name] = service },
  [ChangeKind.RemoveService]: (draft, { name }) => { delete draft.services[name] },
  [ChangeKind.PutPreset]: (draft, { preset }) => { draft.presets[preset.name] = preset },
  [ChangeKind.SwitchPreset]: (draft, { name }) => { draft.presetInForce = name }
}

/** Name of the entry that a change targets. Every reader checks it before it applies the change. */
const targetNames: Record<ChangeKind, (change: Change) => unknown> = {
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
 * Whether a change can be applied. A change of an unknown kind, without an entry's
 * name, or of an unknown preset could leave every instance without a preset in
 * force at the same moment, so all instances refuse its record.
 */
export function isApplicable (change: Change): boolean {
  const subject = targetNames[change?.kind]?.(change)
  if (typeof subject !== 'string' || subject === '') {
    return false
  }
  return !presetKinds.has(change.kind) || presetNames.has(subject)
}

/** Returns the configuration with the changes applied in order. */
export function applyChanges (configuration: Configuration, changes: readonly Change[]): Configuration {
  const draft = createDraft(configuration)
  for (const change of changes) {
    const handler = handlers[change.kind] as (draft: Draft, change: Change) => void
    handler(draft, change)
  }
  return { ...configuration, ...draft }
}

export function applyChange (configuration: Configuration, change: Change): Configuration {
  return applyChanges(configuration, [change])
}
