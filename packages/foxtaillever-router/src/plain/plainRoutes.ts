/** Converts plain services of the configuration to routes and servers of the relay core. */
import { AdministrativeState, type BackendServer, type Configuration, type PlainService } from 'foxtaillever-core'
import { CacheIsolation } from 'foxtaillever-relay/cache/cacheIsolation'
import { ServerState, type ListedServer } from 'foxtaillever-relay/model/listedServer'
import { Repeatability, type Route, type Routing } from 'foxtaillever-relay/model/routing'
import type { MatchedCall } from './matchCall.js'

/** Maximum attempts of a repeatable call; more would only lengthen an outage. */
const MAX_ATTEMPTS = 3

/** The route of one declared call. Services state no objective, so silence is judged by their usual response time. */
export function routeOf ({ service, call, idempotent }: MatchedCall): Route {
  const { name, path, timeoutMs } = service
  return {
    name: `${name} ${call.method} ${call.path}`,
    host: '',
    pathPrefix: path,
    targets: [{ service: name, weight: 1 }],
    repeatability: idempotent ? Repeatability.Idempotent : Repeatability.Once,
    isStream: false,
    isResumable: false,
    hasPrompt: false,
    isPublic: false,
    timeoutMs,
    objectiveMs: 0,
    pauseObjectiveMs: 0,
    mostAttempts: MAX_ATTEMPTS,
    awaitsAdmission: false,
    silenceLimitMs: Infinity,
    priority: 0
  }
}

/** Only the services matter here: the entry instance itself admits callers and reads their requests. */
export function routingOf ({ revision, services }: Configuration): Routing {
  return {
    revision,
    routes: [],
    // The service gate bounds the calls of a service, so its connections need no further limit.
    services: new Map(Object.values(services).map(({ name, concurrentRequests }) => [name, { name, healthPath: '', mostConnections: concurrentRequests, engine: undefined }])),
    cacheStores: [],
    accounts: [],
    cacheIsolation: CacheIsolation.create([]),
    limits: { headerBytes: 0, bodyBytes: 0, headerTimeoutMs: 0, idleTimeoutMs: 0 }
  }
}

function availableServers (service: PlainService, { servers }: Configuration, leaving: ReadonlySet<string>): BackendServer[] {
  return service.servers
    .filter(name => !leaving.has(name))
    .flatMap(name => servers[name] ?? [])
    .filter(({ state }) => state === AdministrativeState.InService)
}

/**
 * The servers that may get calls, each once for each of its services. The id
 * contains the address, so that a server that moves gets new connections.
 * @param leaving names of servers that reported that they are leaving.
 */
export function listServers (configuration: Configuration, leaving: ReadonlySet<string>): ListedServer[] {
  return Object.values(configuration.services).flatMap(service => {
    const available = availableServers(service, configuration, leaving)
    return available.map(({ name, address, failureDomain }) => ({
      id: `${service.name}/${name}@${address}`,
      startedAt: 0,
      service: service.name,
      address,
      failureDomain,
      // An equal share of the service's calls.
      slots: Math.ceil(service.concurrentRequests / available.length),
      state: ServerState.Ready,
      coldLeftMs: 0,
      softwareVersion: '',
      weights: new Map<string, number>()
    }))
  })
}
