/** Turns checked settings into what an entry instance is told. */
import type { Clock } from 'foxtaillever-core'
import { Permission } from 'foxtaillever-fleet'
import { distanceBetween, type RouterSettings } from 'foxtaillever-settings'
import { Logs } from '../telemetry/logs.js'
import type { EntryInstanceOptions } from './entryInstanceOptions.js'

/** One way from this instance to each other failure domain that the settings name. */
function distancesOf ({ distances, failureDomain }: RouterSettings): Record<string, number> {
  const domains = new Set(distances.flatMap(({ between }) => between))
  return Object.fromEntries([...domains].flatMap(domain => {
    const distance = distanceBetween(distances, failureDomain, domain)
    return distance === undefined ? [] : [[domain, distance]]
  }))
}

/** @param seed of all randomness of the process; drawn anew at each start. */
export function createInstanceOptions (settings: RouterSettings, clock: Clock, seed: number): EntryInstanceOptions {
  const { name, failureDomain, listen, control, gossip, peers, operators, memberKeys, platform, claimKeptMs, limits, logLevel } = settings
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
    distancesMs: distancesOf(settings),
    limits,
    logs: Logs.create({ instance: name, level: logLevel, clock }),
    seed,
    logRetentionMs: platform.logRetentionMs,
    claimKeptMs
  }
}
