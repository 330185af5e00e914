/**
 * The size to design for, as the users gave it, and the limits on control.
 */
export const twoYearSize = {
  daemons: 380,
  workers: 670,
  requestsPerSecond: 5500,
  accounts: 1700,
  models: 38,
  failureDomains: 7,
  cachedBlocks: 14_000_000,
  cacheEventsPerSecond: 320_000,
  changesPerDay: 810,
  replacementsPerDay: 84,
  herd: 60
} as const

/** What control may cost one daemon. */
export const limits = {
  corePercent: 1.1,
  memoryMegabytes: 32,
  bytesPerSecond: 14_000
} as const

/** What operators are promised for a change, milliseconds. */
export const IN_FORCE_MS = 8000

export const SECONDS_PER_DAY = 86_400
