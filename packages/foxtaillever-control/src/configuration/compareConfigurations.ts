/**
 * Tells two configurations apart, as the changes that lead from one to the
 * other, in an order in which every step holds together.
 */
import { isDeepStrictEqual } from 'node:util'
import { PresetName, type Configuration } from 'foxtaillever-core'
import { ChangeKind, type Change } from 'foxtaillever-fleet'

type Table<Entry> = Readonly<Record<string, Entry>>

function findPuts<Entry> (from: Table<Entry>, to: Table<Entry>): readonly Entry[] {
  return Object.entries(to).flatMap(([name, entry]) => isDeepStrictEqual(from[name], entry) ? [] : [entry])
}

function findRemovals (from: Table<unknown>, to: Table<unknown>): readonly string[] {
  return Object.keys(from).filter(name => !(name in to))
}

export function compareConfigurations (from: Configuration, to: Configuration): readonly Change[] {
  const presets = Object.values(PresetName).filter(name => !isDeepStrictEqual(from.presets[name], to.presets[name]))
  return [
    ...findPuts(from.models, to.models).map(model => ({ kind: ChangeKind.PutModel as const, model })),
    ...findPuts(from.servers, to.servers).map(server => ({ kind: ChangeKind.PutServer as const, server })),
    ...findPuts(from.services, to.services).map(service => ({ kind: ChangeKind.PutService as const, service })),
    ...findPuts(from.accounts, to.accounts).map(account => ({ kind: ChangeKind.PutAccount as const, account })),
    ...findRemovals(from.services, to.services).map(name => ({ kind: ChangeKind.RemoveService as const, name })),
    ...findRemovals(from.servers, to.servers).map(name => ({ kind: ChangeKind.RemoveServer as const, name })),
    ...findRemovals(from.models, to.models).map(name => ({ kind: ChangeKind.RemoveModel as const, name })),
    ...findRemovals(from.accounts, to.accounts).map(name => ({ kind: ChangeKind.RemoveAccount as const, name })),
    ...presets.map(name => ({ kind: ChangeKind.PutPreset as const, preset: to.presets[name] })),
    ...(from.presetInForce === to.presetInForce ? [] : [{ kind: ChangeKind.SwitchPreset as const, name: to.presetInForce }])
  ]
}
