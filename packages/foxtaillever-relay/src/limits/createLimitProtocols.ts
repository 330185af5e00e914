/** Creates the protocols for the limits that all instances share: quotas of client accounts, and rates that backend servers state. */
import type { Clock } from 'foxtaillever-core'
import type { LimitTolerance } from 'foxtaillever-policy/limits/sharedLimitLedger'
import type { Peers } from '../peers/peers.js'
import type { RelayLog } from '../telemetry/relayLog.js'
import { createQuotaKind } from './accountQuotas.js'
import { LimitScope } from './limitMessage.js'
import { LimitProtocol, type LimitKind } from './limitProtocol.js'
import { serverLimitKind } from './serverLimits.js'

export type LimitProtocols = Readonly<Record<LimitScope, LimitProtocol>>

export interface LimitProtocolsOptions {
  readonly clock: Clock
  readonly quotaTolerance: LimitTolerance
  readonly peers: Peers
  readonly log: Pick<RelayLog, 'belief' | 'limitDecided'>
}

export function createLimitProtocols (options: LimitProtocolsOptions): LimitProtocols {
  return {
    [LimitScope.Account]: createLimitProtocol(createQuotaKind(options.quotaTolerance), options),
    [LimitScope.Server]: createLimitProtocol(serverLimitKind, options)
  }
}

function createLimitProtocol (kind: LimitKind, { clock, peers, log }: LimitProtocolsOptions): LimitProtocol {
  return LimitProtocol.create({
    ...kind,
    clock,
    address: peers.address,
    ranking: key => peers.limitOwners.of(key),
    stableSince: () => peers.limitOwners.stableSince,
    instanceCount: () => peers.count(),
    send: (address, message) => peers.link.sendLimit(address, message),
    onInstanceSeen: address => peers.addAddress(address),
    onDecided: (role, outcome) => log.limitDecided(kind.scope, role, outcome),
    onUnresponsive: peer => log.belief('An instance does not answer questions of limits; the next in the ranking is asked.', { peer })
  })
}
