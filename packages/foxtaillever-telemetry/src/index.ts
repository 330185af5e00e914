/** Public API of logs and metrics. */
export * from './logs.js'
export * from './lineOutput.js'
export * from './metrics.js'
