/** Public API of the proof. */
export * from './fuzz/runFuzz.js'
export * from './oracle/oracle.js'
export * from './world/world.js'
export * from './fuzz/mutants.js'
