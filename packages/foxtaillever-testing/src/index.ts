/** Public surface of the test support. */
export * from './describe.js'
export * from './holdUpUntil.js'
export * from './virtualClock.js'
