/**
 * Finds contradictions between the parts of the operators' configuration.
 */
import { ServerKind } from 'foxtaillever-core'
import { formatPath, type Finding } from '../diagnostic.js'
import { findRepeatedIndexes } from '../document/findRepeatedIndexes.js'
import { findNearestName } from '../document/findNearestName.js'
import type { ConfigurationFile } from './configurationSchema.js'

type Check = (file: ConfigurationFile) => readonly Finding[]
type Path = readonly (string | number)[]

/** Checks that a name is a key of a table. */
function checkName (path: Path, name: string, table: Readonly<Record<string, unknown>>, what: string): readonly Finding[] {
  if (name in table) {
    return []
  }
  const meant = findNearestName(name, Object.keys(table))
  return [{ path, problem: `${formatPath(path)} names the ${what} "${name}", which does not exist.`, mend: meant ? `Write "${meant}", or add "${name}".` : `Add "${name}", or take it out here.` }]
}

type Server = ConfigurationFile['servers'][string]

/** Checks what each kind of backend server must and must not have. */
const checksByKind: Record<ServerKind, (server: Server, path: Path) => readonly Finding[]> = {
  [ServerKind.Language]: (server, path) => [
    ...(server.models.length === 0 ? [{ path: [...path, 'models'], problem: `${formatPath(path)} is a language server without models.`, mend: 'List the models that it serves.' }] : []),
    ...(['prefillTokensPerSecond', 'decodeTokensPerSecond', 'cacheTokens'] as const)
      .filter(key => server[key] === 0)
      .map(key => ({ path: [...path, key], problem: `${formatPath([...path, key])} is 0 for a language server, so no placement could be reckoned.`, mend: 'Write what the engine was measured at.' }))
  ],
  [ServerKind.Plain]: (server, path) => server.models.length === 0
    ? []
    : [{ path: [...path, 'models'], problem: `${formatPath(path)} is a plain server with models.`, mend: 'Write "kind": "language", or take out the models.' }]
}

const checkServers: Check = ({ servers, models }) => {
  const entries = Object.entries(servers)
  return [
    ...entries.flatMap(([name, server]) => checksByKind[server.kind](server, ['servers', name])),
    ...entries.flatMap(([name, server]) => server.models.flatMap((model, index) => checkName(['servers', name, 'models', index], model, models, 'model'))),
    ...findRepeatedIndexes(entries, ([, server]) => server.address).flatMap(index => {
      const path = ['servers', entries[index]?.[0] ?? '', 'address']
      return [{ path, problem: `${formatPath(path)} is taken by a backend server above.`, mend: 'One address is one backend server; correct one of the two.' }]
    })
  ]
}

function checkServiceServer (path: Path, name: string, servers: ConfigurationFile['servers']): readonly Finding[] {
  const isLanguage = servers[name]?.kind === ServerKind.Language
  return isLanguage
    ? [{ path, problem: `${formatPath(path)} names the language server "${name}" for a plain service.`, mend: 'Name a server with "kind": "plain".' }]
    : checkName(path, name, servers, 'backend server')
}

type Call = ConfigurationFile['services'][string]['calls'][number]

/** Finds calls that never apply, because an earlier call with a shorter path matches first. */
function findHiddenCalls (calls: readonly Call[]): readonly number[] {
  return calls.flatMap((call, index) => {
    const hidden = calls.slice(0, index).some(earlier => earlier.method === call.method && call.path.startsWith(earlier.path))
    return hidden ? [index] : []
  })
}

const checkServices: Check = ({ services, servers }) => {
  const entries = Object.entries(services)
  return [
    ...entries.flatMap(([name, service]) => service.servers.flatMap((server, index) => checkServiceServer(['services', name, 'servers', index], server, servers))),
    ...entries.flatMap(([name, service]) => findHiddenCalls(service.calls).map(index => {
      const path = ['services', name, 'calls', index]
      return { path, problem: `${formatPath(path)} never counts: an entry above matches all of it.`, mend: 'Put the longer path first.' }
    })),
    ...findRepeatedIndexes(entries, ([, service]) => service.path).map(index => {
      const path = ['services', entries[index]?.[0] ?? '', 'path']
      return { path, problem: `${formatPath(path)} is taken by a service above.`, mend: 'Give each service a path of its own.' }
    })
  ]
}

/** A key of two accounts would let one account act as the other. */
const checkKeys: Check = ({ accounts }) => {
  const digests = Object.entries(accounts).flatMap(([name, { keyDigests }]) => keyDigests.map((digest, index) => ({ digest, path: ['accounts', name, 'keyDigests', index] })))
  return findRepeatedIndexes(digests, ({ digest }) => digest).flatMap(index => {
    const path = digests[index]?.path ?? []
    return [{ path, problem: `${formatPath(path)} is listed twice, so the account of a request would be in doubt.`, mend: 'Give each client account keys of its own.' }]
  })
}

const checks: readonly Check[] = [checkServers, checkServices, checkKeys]

export function checkConfigurationFile (file: ConfigurationFile): readonly Finding[] {
  return checks.flatMap(check => check(file))
}
