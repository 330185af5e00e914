/** The size to design for, as the users stated it, and the limits on the cost of control work. */
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

/** Limits on what control work may cost one daemon. */
export const limits = {
  corePercent: 1.1,
  memoryMegabytes: 32,
  bytesPerSecond: 14_000
} as const

/** Time in which operators are promised a change to be in force everywhere, milliseconds. */
export const IN_FORCE_MS = 8000

export const SECONDS_PER_DAY = 86_400
