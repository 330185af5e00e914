/** Creates the parts of an instance that find out what crashes backend servers. */
import { hashNumber, type Clock } from 'foxtaillever-core'
import type { WritableKeyedLog } from '../knowledge/memberRegistry.js'
import { ServerState } from '../model/listedServer.js'
import type { Peers } from '../peers/peers.js'
import type { RecordReaders } from '../relayOptions.js'
import type { ServerDirectory } from '../servers/serverDirectory.js'
import type { RelayLog } from '../telemetry/relayLog.js'
import { CrashProtocol } from './crashProtocol.js'
import { HeartbeatCheck } from './heartbeatCheck.js'
import { QuarantineStore } from './quarantineStore.js'

export interface CrashesOptions {
  readonly clock: Clock
  readonly relayLog: RelayLog
  readonly log: WritableKeyedLog
  readonly topic: string
  readonly peers: () => Peers
  readonly directory: () => Pick<ServerDirectory, 'all' | 'getByHash'>
  /** Topic of the servers' entries. */
  readonly serversTopic: string
  readonly readServer: RecordReaders['server']
  /** Interval at which servers write their entries, milliseconds. */
  readonly serverHeartbeatMs: number
  /** Up to where the servers' topic is known. */
  readonly serversPosition: () => number
  /** Running requests must be checked. */
  readonly onQuarantine: () => void
  readonly isLeaving: () => boolean
  readonly runInBackground: (work: Promise<void>) => void
}

export interface Crashes {
  readonly protocol: CrashProtocol
  readonly store: QuarantineStore
}

export function createCrashes ({ clock, relayLog, log, topic, serversTopic, readServer, serverHeartbeatMs, serversPosition, peers, directory, onQuarantine, isLeaving, runInBackground }: CrashesOptions): Crashes {
  const heartbeats = HeartbeatCheck.create({ clock, log, topic: serversTopic, readServer, heartbeatMs: serverHeartbeatMs, position: serversPosition, serverOf: hash => directory().getByHash(hash) })
  const protocol = CrashProtocol.create({
    clock,
    log: relayLog,
    address: () => peers().address,
    decidersOf: service => peers().crashDeciders.of(hashNumber(service)),
    serverCount: service => Math.max(1, directory().all().filter(({ listed }) => listed.service === service && listed.state !== ServerState.Gone).length),
    isBeating: async server => await heartbeats.isBeating(server),
    send: (address, message) => peers().link.sendCrash([address], message),
    sendToAll: message => peers().announceCrash(message),
    onQuarantine,
    onDecided: quarantine => runInBackground(store.write(quarantine))
  })
  const store = QuarantineStore.create({ clock, log, topic, relayLog, wallClock: () => Date.now(), onRead: read => protocol.applyQuarantines(read), isLeaving })
  return { protocol, store }
}
