/** Plain services of the configuration as routes and servers of the relay core. */
import { AdministrativeState, type BackendServer, type Configuration, type PlainService } from 'foxtaillever-core'
import { ServerState, type ListedServer } from 'foxtaillever-relay/model/listedServer'
import { Repeatability, type Route, type Routing } from 'foxtaillever-relay/model/routing'
import type { MatchedCall } from './matchCall.js'

/** Tries of a repeatable call at most; more would only lengthen an outage. */
const MOST_TRIES = 3

/** The route of one declared call. Services name no objective, so what is usual says when one is silent. */
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
    mostAttempts: MOST_TRIES,
    priority: 0
  }
}

/** Callers are admitted and their requests read by the entry instance itself; only the services matter here. */
export function routingOf ({ revision, services }: Configuration): Routing {
  return {
    revision,
    routes: [],
    // The gate bounds the calls of a service, so its connections need no further bound.
    services: new Map(Object.values(services).map(({ name, concurrentRequests }) => [name, { name, healthPath: '', mostConnections: concurrentRequests, engine: undefined }])),
    cacheStores: [],
    accounts: [],
    limits: { headerBytes: 0, bodyBytes: 0, headerTimeoutMs: 0, idleTimeoutMs: 0 }
  }
}

function openServers (service: PlainService, { servers }: Configuration, leaving: ReadonlySet<string>): BackendServer[] {
  return service.servers
    .filter(name => !leaving.has(name))
    .flatMap(name => servers[name] ?? [])
    .filter(({ state }) => state === AdministrativeState.InService)
}

/**
 * The servers that may get calls, each once for each of its services. One with
 * another address is another server, so that it gets connections of its own.
 * @param leaving names of servers that said they will end soon.
 */
export function listServers (configuration: Configuration, leaving: ReadonlySet<string>): ListedServer[] {
  return Object.values(configuration.services).flatMap(service => {
    const open = openServers(service, configuration, leaving)
    return open.map(({ name, address, failureDomain }) => ({
      id: `${service.name}/${name}@${address}`,
      startedAt: 0,
      service: service.name,
      address,
      failureDomain,
      // An equal part of the service's calls.
      slots: Math.ceil(service.concurrentRequests / open.length),
      state: ServerState.Ready,
      coldLeftMs: 0,
      weights: new Map<string, number>()
    }))
  })
}
