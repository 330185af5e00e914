/** Public surface of the command line. */
export * from './createCli.js'
export * from './exitCode.js'
