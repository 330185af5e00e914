/** Public surface of the capacity measurements. */
export * from './sizes.js'
