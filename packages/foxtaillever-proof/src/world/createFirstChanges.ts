/** The first configuration that the operators of the small deployment publish. */
import { AdministrativeState, ServerKind, type BackendServer } from 'foxtaillever-core'
import { ChangeKind, type Change } from 'foxtaillever-fleet'

function serverOf (name: string): BackendServer {
  return {
    name,
    kind: ServerKind.Language,
    address: name,
    failureDomain: 'recife',
    models: ['order-language'],
    slots: 4,
    prefillTokensPerSecond: 20_000,
    decodeTokensPerSecond: 20,
    cacheTokens: 4096,
    checksFencing: false,
    checksCaller: false,
    state: AdministrativeState.InService
  }
}

/** The model requires no version of weights, so weights may change during a stream. */
export function createFirstChanges (engines: readonly string[]): Change[] {
  const servers = engines.map((name): Change => ({ kind: ChangeKind.PutServer, server: serverOf(name) }))
  return [...servers, { kind: ChangeKind.PutModel, model: { name: 'order-language', weightsVersion: '', adapters: [] } }]
}
