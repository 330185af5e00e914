/** What the admission protocol takes from the rest of the relay: the capacity of servers, log and metrics. */
import type { RelayLog } from '../telemetry/relayLog.js'
import type { AdmissionProtocolOptions } from './admissionProtocol.js'
import { ServerRooms, type ServerRoomsOptions } from './serverRooms.js'

export interface AdmissionPartsOptions extends ServerRoomsOptions {
  readonly log: Pick<RelayLog, 'belief' | 'admissionDecided'>
}

export function createAdmissionOptions ({ log, ...rest }: AdmissionPartsOptions): Pick<AdmissionProtocolOptions, 'roomOf' | 'onDecided' | 'onUnresponsive'> {
  const rooms = ServerRooms.create(rest)
  return {
    roomOf: hash => rooms.of(hash),
    onDecided: (outcome, waitedMs) => log.admissionDecided(outcome, waitedMs),
    onUnresponsive: peer => log.belief('An instance does not answer requests for admission; the next in the ranking is asked.', { peer })
  }
}
