/** Public surface of the entry process. */
export * from './callers/accounts.js'
export * from './core/claimDesk.js'
export * from './core/invariants.js'
export * from './core/request.js'
export * from './core/routerCore.js'
export * from './core/safeguards.js'
export * from './entryInstance.js'
