/** Public surface of what instances share. */
export * from './configuration/change.js'
export * from './configuration/foldConfiguration.js'
export * from './log/logReader.js'
