/** Public surface of the logs. */
export * from './logs.js'
