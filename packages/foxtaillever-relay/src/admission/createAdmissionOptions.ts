/** What the admission protocol takes from the rest of the relay: the capacity of servers, log and metrics. */
import type { RelayLog } from '../telemetry/relayLog.js'
import type { AdmissionProtocolOptions } from './admissionProtocol.js'
import type { ServerRooms } from './serverRooms.js'

export function createAdmissionOptions (log: Pick<RelayLog, 'belief' | 'admissionDecided'>, rooms: Pick<ServerRooms, 'of'>): Pick<AdmissionProtocolOptions, 'roomOf' | 'onDecided' | 'onUnresponsive'> {
  return {
    roomOf: hash => rooms.of(hash),
    onDecided: (outcome, waitedMs) => log.admissionDecided(outcome, waitedMs),
    onUnresponsive: peer => log.belief('An instance does not answer requests for admission; the next in the ranking is asked.', { peer })
  }
}
