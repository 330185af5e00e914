/** Creates the guard of an instance's servers from the limits of its settings. */
import { shareDescriptors } from 'foxtaillever-policy/relay/descriptorShares'
import { ProcessBudget } from 'foxtaillever-policy/relay/processBudget'
import { ServerGuard } from 'foxtaillever-relay/callers/serverGuard'
import { processLimitsOf } from 'foxtaillever-relay/telemetry/processFigures'
import { RelayLog } from 'foxtaillever-relay/telemetry/relayLog'
import type { EntryInstanceOptions } from './entryInstanceOptions.js'

const BYTES_PER_MEGABYTE = 1_048_576

export function createGuard ({ limits: { memoryMb, descriptors }, logs }: Pick<EntryInstanceOptions, 'limits' | 'logs'>): ServerGuard {
  const limits = processLimitsOf({ memoryBytes: memoryMb === undefined ? undefined : memoryMb * BYTES_PER_MEGABYTE })
  return ServerGuard.create({ budget: ProcessBudget.create(limits), shares: shareDescriptors(descriptors), log: RelayLog.create(logs) })
}
