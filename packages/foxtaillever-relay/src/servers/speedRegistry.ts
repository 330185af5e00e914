/** Connects the speeds that watchers estimate and announce with the servers that this instance knows. */
import { SETTLED_SAMPLES } from 'foxtaillever-policy/relay/prefillSpeed'
import type { SpeedRegistry } from '../peers/watchedSpeeds.js'
import type { RelayLog } from '../telemetry/relayLog.js'
import type { ServerDirectory } from './serverDirectory.js'

export function createSpeedRegistry (directory: ServerDirectory, log: RelayLog): SpeedRegistry {
  return {
    of: hash => directory.getByHash(hash)?.speed,
    // An estimate from few samples is still near its initial value, from which every server would differ.
    serviceTokensPerMs: hash => {
      const server = directory.getByHash(hash)
      const speed = server && directory.observations.prefillSpeedOf(server.listed.service)
      return speed && speed.samples >= SETTLED_SAMPLES ? speed.tokensPerMs : undefined
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
