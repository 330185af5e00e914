/** Deployment that the measured router is configured with: any number of accounts and workers, all workers with the address of one upstream. */
import { PriorityClass } from 'foxtaillever-core'
import { shapes, type Shape } from '../deployment/shape.js'

export interface SpeedSize {
  readonly accounts: number
  readonly workers: number
}

export const SMALL_SIZE: SpeedSize = { accounts: 8, workers: 6 }

/** Slots and rates of a worker, so large that the router never waits for one. */
const SLOTS = 4096
const TOKENS_PER_SECOND = 10_000_000

export function createSpeedShape (size: SpeedSize): Shape {
  return {
    ...shapes['sertaneja'] as Shape,
    name: 'speed',
    model: 'm',
    workers: size.workers,
    instances: 1,
    slots: SLOTS,
    prefillTokensPerSecond: TOKENS_PER_SECOND,
    decodeTokensPerSecond: TOKENS_PER_SECOND,
    accounts: Array.from({ length: size.accounts }, (_, index) => ({ name: `account-${index}`, weight: 1, priority: PriorityClass.Standard, arrivals: 1 }))
  }
}
