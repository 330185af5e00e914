/** Public surface of settings and configuration files. */
export * from './complaint.js'
export { configurationSchema, type ConfigurationFile } from './configuration/configurationSchema.js'
export * from './configuration/loadConfigurationFile.js'
export type { Environment } from './router/checkRouterFile.js'
export * from './router/loadRouterSettings.js'
export * from './router/routerSettings.js'
export * from './secret.js'
export { renderEditorSchemas } from './editor/renderEditorSchemas.js'
