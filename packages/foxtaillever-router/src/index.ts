/** Public surface of the entry process. */
export * from './callers/accounts.js'
export * from './core/request.js'
export * from './core/routerCore.js'
export * from './instance/entryInstance.js'
export * from './instance/entryInstanceOptions.js'
export { Logs, type LogsOptions } from './telemetry/logs.js'
