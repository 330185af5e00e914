/** Public surface of the decisions. */
export * from './job.js'
export * from './placement.js'
export * from './scheduler.js'
