/** Creates the parts of an instance that keep the software versions of streams and services. */
import { hashNumber, type Clock } from 'foxtaillever-core'
import { ServedVersions } from 'foxtaillever-policy/relay/servedVersions'
import { ServerState, type ListedServer } from '../model/listedServer.js'
import type { WritableKeyedLog } from '../knowledge/memberRegistry.js'
import type { StoreReplica } from '../knowledge/storeReplica.js'
import type { Peers } from '../peers/peers.js'
import type { ServerDirectory } from '../servers/serverDirectory.js'
import type { RelayLog } from '../telemetry/relayLog.js'
import { StreamVersions } from './streamVersions.js'
import { VersionRecords } from './versionRecords.js'

export interface StreamVersionParts {
  readonly clock: Clock
  readonly log: WritableKeyedLog
  /** Topic of the records of software versions. */
  readonly topic: string
  readonly relayLog: RelayLog
  readonly knowledge: () => Pick<StoreReplica, 'serversKnownAt' | 'checkStore'>
  readonly directory: () => Pick<ServerDirectory, 'all'>
  readonly peers: () => Peers
}

export interface StreamVersionKeeping {
  readonly versions: StreamVersions
  readonly records: VersionRecords
}

export function createStreamVersions ({ clock, log, topic, relayLog, directory, peers, knowledge }: StreamVersionParts): StreamVersionKeeping {
  const served = ServedVersions.create()
  const listedServers = (service: string): ListedServer[] => directory().all().flatMap(({ listed }) => listed.service === service && listed.state !== ServerState.Gone ? [listed] : [])
  const versionsOf = (service: string): readonly string[] => served.recent(service, listedServers(service).map(({ softwareVersion }) => softwareVersion), clock.now())
  const records = VersionRecords.create({
    clock,
    log,
    topic,
    relayLog,
    versionsOf,
    services: () => [...new Set(directory().all().map(({ listed }) => listed.service))],
    isWriter: service => peers().watchers.of(hashNumber(service)).includes(peers().address),
    onRead: (service, versions) => served.recordSeen(service, versions, clock.now())
  })
  const versions = StreamVersions.create({
    clock,
    address: () => peers().address,
    holdersOf: id => peers().streamHolders.of(id),
    askedFor: id => peers().streamHolders.asked(id),
    versionsOf,
    knowsRecentVersions: () => records.isRead,
    listKnownAt: () => knowledge().serversKnownAt,
    refreshList: () => knowledge().checkStore(),
    send: (address, message) => peers().link.sendStreamVersion(address, message)
  })
  return { versions, records }
}
