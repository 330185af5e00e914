/**
 * Computes the changes that lead from one configuration to another, in an order
 * in which the configuration is consistent after every step.
 */
import { isDeepStrictEqual } from 'node:util'
import { PresetName, type Configuration } from 'foxtaillever-core'
import { ChangeKind, type Change } from 'foxtaillever-fleet'

type Table<Entry> = Readonly<Record<string, Entry>>

function findChangedEntries<Entry> (from: Table<Entry>, to: Table<Entry>): readonly Entry[] {
  return Object.entries(to).flatMap(([name, entry]) => isDeepStrictEqual(from[name], entry) ? [] : [entry])
}

function findRemovedNames (from: Table<unknown>, to: Table<unknown>): readonly string[] {
  return Object.keys(from).filter(name => !(name in to))
}

export function compareConfigurations (from: Configuration, to: Configuration): readonly Change[] {
  const presets = Object.values(PresetName).filter(name => !isDeepStrictEqual(from.presets[name], to.presets[name]))
  return [
    ...findChangedEntries(from.models, to.models).map(model => ({ kind: ChangeKind.PutModel as const, model })),
    ...findChangedEntries(from.servers, to.servers).map(server => ({ kind: ChangeKind.PutServer as const, server })),
    ...findChangedEntries(from.services, to.services).map(service => ({ kind: ChangeKind.PutService as const, service })),
    ...findChangedEntries(from.accounts, to.accounts).map(account => ({ kind: ChangeKind.PutAccount as const, account })),
    ...findRemovedNames(from.services, to.services).map(name => ({ kind: ChangeKind.RemoveService as const, name })),
    ...findRemovedNames(from.servers, to.servers).map(name => ({ kind: ChangeKind.RemoveServer as const, name })),
    ...findRemovedNames(from.models, to.models).map(name => ({ kind: ChangeKind.RemoveModel as const, name })),
    ...findRemovedNames(from.accounts, to.accounts).map(name => ({ kind: ChangeKind.RemoveAccount as const, name })),
    ...presets.map(name => ({ kind: ChangeKind.PutPreset as const, preset: to.presets[name] })),
    ...(from.presetInForce === to.presetInForce ? [] : [{ kind: ChangeKind.SwitchPreset as const, name: to.presetInForce }])
  ]
}
