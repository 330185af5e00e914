/** Connects the speeds that watchers estimate and announce with the servers that this instance knows. */
import type { Clock } from 'foxtaillever-core'
import { medianSpeeds } from 'foxtaillever-policy/relay/medianSpeeds'
import type { SpeedUpdate } from '../peers/peerMessage.js'
import type { SpeedRegistry } from '../peers/watchedSpeeds.js'
import type { RelayLog } from '../telemetry/relayLog.js'
import type { ServerDirectory } from './serverDirectory.js'

/** How long the medians are used before they are computed again, milliseconds: heartbeats are as far apart. */
const MEDIANS_VALID_MS = 1000

export interface SpeedRegistryOptions {
  readonly clock: Clock
  readonly directory: ServerDirectory
  readonly log: RelayLog
  /** Speeds of services that the other instances announced last. */
  readonly peerSpeeds: () => readonly SpeedUpdate[]
}

export function createSpeedRegistry ({ clock, directory, log, peerSpeeds }: SpeedRegistryOptions): SpeedRegistry {
  let medians: ReadonlyMap<string, number> = new Map()
  let expiresAt = 0
  const medianOf = (service: string): number | undefined => {
    if (expiresAt <= clock.now()) {
      expiresAt = clock.now() + MEDIANS_VALID_MS
      medians = medianSpeeds([...directory.speedsToAnnounce(), ...peerSpeeds()])
    }
    return medians.get(service)
  }
  return {
    of: hash => directory.getByHash(hash)?.speed,
    serviceTokensPerMs: hash => {
      const service = directory.getByHash(hash)?.listed.service
      return service === undefined ? undefined : medianOf(service)
    },
    record: (hash, speed) => {
      const server = directory.getByHash(hash)
      if (server) {
        server.speed = speed
      }
    },
    onWeightStep: ({ server, tokensPerMs, serviceTokensPerMs, ...change }) => log.belief('The home weight of a backend server changes.', {
      server: directory.getByHash(server)?.listed.id, ...change, tokensPerMs: Number(tokensPerMs.toFixed(1)), serviceTokensPerMs: Number(serviceTokensPerMs.toFixed(1))
    })
  }
}
