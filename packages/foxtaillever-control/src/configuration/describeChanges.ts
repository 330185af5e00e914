/**
 * Describes changes in lines that an operator reads before publishing them.
 */
import { isDeepStrictEqual } from 'node:util'
import type { Configuration } from 'foxtaillever-core'
import { ChangeKind, type Change } from 'foxtaillever-fleet'

type Entry = Readonly<Record<string, unknown>>

function showValue (value: unknown): string {
  return value === undefined ? 'nothing' : JSON.stringify(value)
}

/** One line per property that differs; a new entry is one line. */
function describePut (what: string, name: string, before: object | undefined, after: object): readonly string[] {
  if (!before) {
    return [`+ ${what} ${name}`]
  }
  const old = before as Entry
  const parts = Object.entries(after).filter(([part, value]) => !isDeepStrictEqual(old[part], value))
  return parts.map(([part, value]) => `~ ${what} ${name}: ${part} ${showValue(old[part])} -> ${showValue(value)}`)
}

type Handlers = { readonly [Kind in ChangeKind]: (from: Configuration, change: Extract<Change, { kind: Kind }>) => readonly string[] }

const handlers: Handlers = {
  [ChangeKind.PutAccount]: (from, { account }) => describePut('account', account.name, from.accounts[account.name], account),
  [ChangeKind.RemoveAccount]: (_, { name }) => [`- account ${name}`],
  [ChangeKind.PutServer]: (from, { server }) => describePut('server', server.name, from.servers[server.name], server),
  [ChangeKind.RemoveServer]: (_, { name }) => [`- server ${name}`],
  [ChangeKind.PutModel]: (from, { model }) => describePut('model', model.name, from.models[model.name], model),
  [ChangeKind.RemoveModel]: (_, { name }) => [`- model ${name}`],
  [ChangeKind.PutService]: (from, { service }) => describePut('service', service.name, from.services[service.name], service),
  [ChangeKind.RemoveService]: (_, { name }) => [`- service ${name}`],
  [ChangeKind.PutPreset]: (from, { preset }) => describePut('preset', preset.name, from.presets[preset.name], preset),
  [ChangeKind.SwitchPreset]: (from, { name }) => [`! preset in force ${from.presetInForce} -> ${name}`]
}

export function describeChanges (from: Configuration, changes: readonly Change[]): readonly string[] {
  return changes.flatMap(change => {
    const handler = handlers[change.kind] as (from: Configuration, change: Change) => readonly string[]
    return handler(from, change)
  })
}

/** Kinds of change that may move traffic from one backend server to another, or stop it. */
const kindsMovingTraffic: ReadonlySet<ChangeKind> = new Set([
  ChangeKind.PutServer, ChangeKind.RemoveServer, ChangeKind.RemoveModel, ChangeKind.RemoveService,
  ChangeKind.RemoveAccount, ChangeKind.PutPreset, ChangeKind.SwitchPreset
])

export function mayMoveTraffic (changes: readonly Change[]): boolean {
  return changes.some(change => kindsMovingTraffic.has(change.kind))
}
