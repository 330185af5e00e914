/** Creates the options of an entry instance from its settings. */
import { randomInt } from 'node:crypto'
import type { Clock } from 'foxtaillever-core'
import { Permission } from 'foxtaillever-fleet'
import type { RouterSettings } from 'foxtaillever-settings'
import { Logs } from 'foxtaillever-telemetry'
import type { EntryInstanceOptions } from './entryInstanceOptions.js'

const SEEDS = 2 ** 31

/** One-way latencies from the instance's own failure domain to the others. */
function distancesFrom ({ failureDomain, distances }: RouterSettings): Record<string, number> {
  const own = distances.filter(({ between }) => between.includes(failureDomain))
  return Object.fromEntries(own.map(({ between: [a, b], oneWayMs }) => [a === failureDomain ? b : a, oneWayMs]))
}

export function createEntryInstanceOptions (settings: RouterSettings, clock: Clock): EntryInstanceOptions {
  const { name, failureDomain, listen, control, gossip, peers, operators, memberKeys, platform, limits, logLevel } = settings
  return {
    name,
    failureDomain,
    listen,
    control,
    gossip,
    seeds: peers,
    keys: memberKeys.map(({ id, secret }) => ({ id, secret: secret.reveal(), permissions: [Permission.Join] })),
    operators,
    logAddress: platform.logAddress,
    listAddress: platform.listAddress,
    distancesMs: distancesFrom(settings),
    limits,
    hasOwnProcess: true,
    logs: Logs.create({ instance: name, level: logLevel, clock }),
    // Instances with the same seed would make the same choices and overload one server.
    seed: randomInt(SEEDS),
    logRetentionMs: platform.logRetentionMs,
    claimKeptMs: limits.claimKeptMs
  }
}
