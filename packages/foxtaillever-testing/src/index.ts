/** Public API of the test support. */
export * from './describe.js'
export * from './blockEventLoopUntil.js'
export * from './slowConnection.js'
export * from './virtualClock.js'
