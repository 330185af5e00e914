/**
 * Schema of the operators' configuration file. Entries are keyed by name, so
 * that names are unique.
 */
import { AdministrativeState, PlacementPolicy, PresetName, PriorityClass, ServerKind } from 'foxtaillever-core'
import { z } from 'zod'
import { Format, formatted } from '../document/formats.js'
import { timeout } from '../router/routerSchema.js'

function share (what: string): z.ZodNumber {
  return z.number().min(0).max(1).describe(`${what}, from 0 to 1.`)
}

function count (what: string): z.ZodNumber {
  return z.number().int().min(1).describe(what)
}

const account = z.object({
  keyDigests: z.array(formatted(Format.Digest)).min(1).describe('SHA-256 of each API key in force, hexadecimal; two while a key is replaced.'),
  weight: z.number().positive().describe('Share against other accounts of the same class when the fleet is full.'),
  priority: z.nativeEnum(PriorityClass).describe('Class of its requests.'),
  tokensPerSecond: z.number().positive().describe('Limit over all instances, tokens of prefill and decode a second.'),
  concurrentRequests: count('Limit over all instances, requests at once.')
}).strict()

const server = z.object({
  kind: z.nativeEnum(ServerKind).describe('Whether it runs a model engine or a plain service.'),
  address: formatted(Format.Address).describe('IP number and port.'),
  failureDomain: formatted(Format.Name).describe('Failure domain in which it runs.'),
  models: z.array(formatted(Format.Name)).default([]).describe('Models that it serves; none for a plain service.'),
  slots: count('Requests it runs at once.'),
  prefillTokensPerSecond: z.number().min(0).default(0).describe('Uncached prompt tokens it computes a second.'),
  decodeTokensPerSecond: z.number().min(0).default(0).describe('Tokens it generates a second, all slots together.'),
  cacheTokens: z.number().int().min(0).default(0).describe('Room for cached blocks, tokens.'),
  checksFencing: z.boolean().default(false).describe('Whether it refuses orders with an old fencing number.'),
  checksCaller: z.boolean().default(false).describe('Whether it checks who gives it an order.'),
  state: z.nativeEnum(AdministrativeState).optional().describe('Left out, publishing keeps the state set by drain and return.')
}).strict()

const model = z.object({
  weightsVersion: formatted(Format.Name).describe('Version of the weights in force.'),
  adapters: z.array(formatted(Format.Name)).default([]).describe('Adapters that may be loaded with it.')
}).strict()

const call = z.object({
  method: z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']).describe('HTTP method.'),
  path: formatted(Format.Path).describe('Path prefix below that of the service.'),
  idempotent: z.boolean().describe('Whether the service allows the call to be repeated.')
}).strict()

const service = z.object({
  path: formatted(Format.Path).describe('Path prefix under which callers reach it.'),
  servers: z.array(formatted(Format.Name)).min(1).describe('Names of its backend servers.'),
  calls: z.array(call).min(1).describe('Its calls; the first that matches counts.'),
  concurrentRequests: count('Requests at once over one instance.'),
  timeoutMs: timeout('Longest a call may take')
}).strict()

const preset = z.object({
  placement: z.nativeEnum(PlacementPolicy).default(PlacementPolicy.ExpectedFirstToken).describe('How a backend server is chosen.'),
  retryShare: share('Retries as a share of first tries').default(0.1),
  queueLimit: count('Requests waiting at one instance before new ones are refused.').default(1000),
  defaultTimeoutMs: timeout('Deadline of a request that names none').default(60_000),
  floorShare: share('Share of dispatches kept for lower classes').default(0.1),
  ejectedShare: share('Most backend servers of a model set aside as slow at once').default(0.34),
  recomputationWeight: z.number().min(0).max(100).default(1).describe('How much a prefill done again weighs against waiting, 1 when left out; more for a higher hit rate.')
}).strict()

const presets = z.object({
  [PresetName.OrdinaryDays]: preset,
  [PresetName.Peaks]: preset,
  [PresetName.Maintenance]: preset
}).strict()

export const configurationSchema = z.object({
  $schema: z.string().optional().describe('Path of the schema, for editors.'),
  accounts: z.record(formatted(Format.Name), account).describe('Client accounts by name.'),
  servers: z.record(formatted(Format.Name), server).describe('Backend servers by name.'),
  models: z.record(formatted(Format.Name), model).describe('Models by name.'),
  services: z.record(formatted(Format.Name), service).default({}).describe('Plain services by name.'),
  presets: presets.describe('One preset each for ordinary days, peaks and maintenance.'),
  presetInForce: z.nativeEnum(PresetName).optional().describe('Left out, publishing keeps the preset in force.')
}).strict()

export type ConfigurationFile = z.output<typeof configurationSchema>
