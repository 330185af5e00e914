/** Public surface of the logs. */
export * from './logs.js'
export * from './lineOutput.js'
export * from './metrics.js'
