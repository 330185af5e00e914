/** Connects the replica of the platform's store to the server directory, the routing and the weights of an instance. */
import type { Routing } from '../model/routing.js'
import type { Peers } from '../peers/peers.js'
import { AnnouncedTopic } from '../peers/announcedTopic.js'
import type { RelayOptions } from '../relayOptions.js'
import type { ServerDirectory } from '../servers/serverDirectory.js'
import type { RelayLog } from '../telemetry/relayLog.js'
import { StoreReplica } from './storeReplica.js'
import { RecordHandler } from './recordHandler.js'
import { readWallClockSeconds } from './suspensionDetector.js'

type OwnOptions = Pick<RelayOptions, 'clock' | 'random' | 'log' | 'topics' | 'name' | 'failureDomain' | 'readers' | 'configurationBoundMs'>

export interface CreateStoreReplicaOptions extends OwnOptions {
  readonly relayLog: RelayLog
  readonly directory: ServerDirectory
  readonly peers: Peers
  /** Revision of the configuration in force; -1 before the first. */
  readonly revision: () => number
  readonly onRouting: (routing: Routing) => void
  /** @param isStart whether the record was read while the instance started. */
  readonly onWeights: (model: string, version: number, isStart: boolean) => void
  readonly onRestored: () => void
}

export function createStoreReplica (options: CreateStoreReplicaOptions): StoreReplica {
  const { clock, random, log, topics, name, failureDomain, readers, configurationBoundMs, relayLog, directory, peers, revision, onRouting, onWeights, onRestored } = options
  const recordHandler = RecordHandler.create({
    clock,
    log: relayLog,
    readers,
    directory,
    removalsDeferredUntil: () => replica.removalsDeferredUntil,
    onRouting,
    onWeights: (model, version) => onWeights(model, version, !replica.isComplete)
  })
  const replica = StoreReplica.create({
    clock,
    random,
    wallSeconds: readWallClockSeconds,
    configurationBoundMs,
    self: { name, failureDomain },
    readers: () => peers.likely().filter(({ hasStore }) => hasStore),
    notify: notice => peers.announceReading(notice),
    log,
    topics: { [AnnouncedTopic.Operators]: topics.operators, [AnnouncedTopic.Servers]: topics.servers },
    relayLog,
    link: () => peers.link,
    peers: () => peers.table.all().map(({ address, lastMessage }) => ({ address, positions: lastMessage?.positions, revision: lastMessage?.revision ?? -1 })),
    revision,
    onRestored,
    onRecord: { [AnnouncedTopic.Operators]: record => recordHandler.applyOperatorRecord(record), [AnnouncedTopic.Servers]: record => recordHandler.applyServerRecord(record) }
  })
  return replica
}
