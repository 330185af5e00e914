/** The knowledge of the platform's store among the parts of an instance: what it reads goes into the directory, the routes and the weights. */
import type { Routing } from '../model/routing.js'
import type { Peers } from '../peers/peers.js'
import { AnnouncedTopic } from '../peers/announcedTopic.js'
import type { RelayOptions } from '../relayOptions.js'
import type { ServerDirectory } from '../servers/serverDirectory.js'
import type { RelayLog } from '../telemetry/relayLog.js'
import { Knowledge } from './knowledge.js'
import { RecordIntake } from './recordIntake.js'
import { readWallSeconds } from './suspension.js'

type OwnOptions = Pick<RelayOptions, 'clock' | 'random' | 'log' | 'topics' | 'name' | 'failureDomain' | 'readers'>

export interface CreateKnowledgeOptions extends OwnOptions {
  readonly relayLog: RelayLog
  readonly directory: ServerDirectory
  readonly peers: Peers
  /** Of the configuration in force; -1 before the first. */
  readonly revision: () => number
  readonly onRouting: (routing: Routing) => void
  /**
   * @param isStart they were found in the store at the start.
   * @returns false where newer weights of the model are named already.
   */
  readonly onWeights: (model: string, version: number, isStart: boolean) => boolean
  readonly onRestored: () => void
}

export function createKnowledge (options: CreateKnowledgeOptions): Knowledge {
  const { clock, random, log, topics, name, failureDomain, readers, relayLog, directory, peers, revision, onRouting, onWeights, onRestored } = options
  const intake = RecordIntake.create({
    clock,
    log: relayLog,
    readers,
    directory,
    settledAt: () => knowledge.settledAt,
    onRouting,
    onWeights: (model, version) => onWeights(model, version, !knowledge.isWhole)
  })
  const knowledge = Knowledge.create({
    clock,
    random,
    wallSeconds: readWallSeconds,
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
    onRecord: { [AnnouncedTopic.Operators]: record => intake.takeOperators(record), [AnnouncedTopic.Servers]: record => intake.takeServer(record) }
  })
  return knowledge
}
