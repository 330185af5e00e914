/** Public surface of what instances share. */
export * from './claims/claim.js'
export * from './claims/claimFold.js'
export * from './claims/claimKeeper.js'
export * from './claims/grant.js'
export * from './claims/keyCreation.js'
export * from './configuration/change.js'
export * from './configuration/foldConfiguration.js'
export * from './log/logReader.js'
