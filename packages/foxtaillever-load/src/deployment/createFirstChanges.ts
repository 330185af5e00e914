/** Creates the first configuration of a stand-in deployment: accounts, backend servers, model, plain service, preset. */
import { createPreset, PresetName, ServerKind, type BackendServer, type Preset } from 'foxtaillever-core'
import { ChangeKind, type Change } from 'foxtaillever-fleet'
import { digestKey } from 'foxtaillever-router'
import { keyOf } from './keyOf.js'
import type { AccountShape, Shape } from './shape.js'

/** Account limits far above what a run sends, so that experiments measure the limits of the fleet. */
const TOKENS_PER_SECOND = 1_000_000
const CONCURRENT_REQUESTS = 1000

const SERVICE_TIMEOUT_MS = 2000
const SERVICE_CONCURRENT_REQUESTS = 64

function putAccount (account: AccountShape): Change {
  return {
    kind: ChangeKind.PutAccount,
    account: {
      name: account.name,
      keyDigests: [digestKey(keyOf(account.name))],
      weight: account.weight,
      priority: account.priority,
      tokensPerSecond: TOKENS_PER_SECOND,
      concurrentRequests: CONCURRENT_REQUESTS
    }
  }
}

function putService (servers: readonly BackendServer[]): Change {
  return {
    kind: ChangeKind.PutService,
    service: {
      name: 'records',
      path: '/services/records',
      servers: servers.filter(server => server.kind === ServerKind.Plain).map(server => server.name),
      calls: [{ method: 'GET', path: '/citations', idempotent: true }, { method: 'POST', path: '/exports', idempotent: false }],
      concurrentRequests: SERVICE_CONCURRENT_REQUESTS,
      timeoutMs: SERVICE_TIMEOUT_MS
    }
  }
}

export function createFirstChanges (shape: Shape, preset: Partial<Preset>, servers: readonly BackendServer[]): Change[] {
  return [
    ...shape.accounts.map(putAccount),
    ...servers.map((server): Change => ({ kind: ChangeKind.PutServer, server })),
    { kind: ChangeKind.PutModel, model: { name: shape.model, weightsVersion: 'v1', adapters: [] } },
    putService(servers),
    { kind: ChangeKind.PutPreset, preset: createPreset(PresetName.OrdinaryDays, preset) },
    { kind: ChangeKind.SwitchPreset, name: PresetName.OrdinaryDays }
  ]
}
