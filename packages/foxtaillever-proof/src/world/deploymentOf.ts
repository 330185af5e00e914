/** What the operators of the small deployment publish first. */
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

/** No version of weights is asked for, so that they may change beneath a stream. */
export function createFirstChanges (engines: readonly string[]): Change[] {
  const servers = engines.map((name): Change => ({ kind: ChangeKind.PutServer, server: serverOf(name) }))
  return [...servers, { kind: ChangeKind.PutModel, model: { name: 'order-language', weightsVersion: '', adapters: [] } }]
}
