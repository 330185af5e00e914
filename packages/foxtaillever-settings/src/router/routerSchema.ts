/**
 * Schema of an entry instance's settings file. Descriptions are shown by
 * editors and in complaints about what is missing.
 */
import { z } from 'zod'
import { Format, formatted } from '../document/formats.js'
import { LogLevel } from './routerSettings.js'

/** Shorter timeouts are seconds mistaken for milliseconds. */
const SHORTEST_TIMEOUT_MS = 100

/** A day; nothing here waits longer. */
const LONGEST_TIMEOUT_MS = 86_400_000

/** A log that forgets sooner could not carry a configuration through an outage. */
const SHORTEST_RETENTION_MS = 60_000

/** Callers send again within this at least. */
const SHORTEST_CLAIM_MS = 1000

/** A chat request of a few tokens fits; smaller limits are megabytes mistaken for bytes. */
const SMALLEST_BODY_BYTES = 1024

/** A body is held in memory while its request waits. */
const LARGEST_BODY_BYTES = 64 * 1024 * 1024

export function timeout (what: string): z.ZodNumber {
  return z.number().int().min(SHORTEST_TIMEOUT_MS).max(LONGEST_TIMEOUT_MS).describe(`${what}, milliseconds.`)
}

function endpoint (what: string): z.ZodObject<{ host: z.ZodString, port: z.ZodNumber }, 'strict'> {
  return z.object({
    host: formatted(Format.Host).describe('IP number.'),
    port: z.number().int().min(0).max(65_535).describe('Port; 0 lets the system choose.')
  }).strict().describe(what)
}

const platform = z.object({
  logAddress: formatted(Format.Address).describe('IP number and port of the append-only log.'),
  listAddress: formatted(Format.Address).describe('IP number and port of the list of instances.'),
  logRetentionMs: z.number().int().min(SHORTEST_RETENTION_MS).describe('How long the log keeps records, milliseconds.')
}).strict().describe('Where the platform is.')

const operator = z.object({
  name: formatted(Format.Name).describe('Stands as author of what this operator publishes.'),
  tokenDigests: z.array(formatted(Format.Digest)).min(1).describe('SHA-256 of each token in force, hexadecimal; two while a token is replaced.')
}).strict()

const memberKey = z.object({
  id: formatted(Format.Name).describe('Name of the key, so that instances know which one was used.'),
  key: formatted(Format.MemberKey).optional().describe('32 bytes as 64 hexadecimal digits; better kept in a variable.'),
  keyVariable: formatted(Format.Variable).optional().describe('Environment variable that holds the key.')
}).strict()

const limits = z.object({
  bodyBytes: z.number().int().min(SMALLEST_BODY_BYTES).max(LARGEST_BODY_BYTES).default(4 * 1024 * 1024).describe('Largest body of a request, bytes.'),
  headerBytes: z.number().int().min(1024).max(1024 * 1024).default(16 * 1024).describe('Largest headers of a request, bytes.'),
  idleTimeoutMs: timeout('A connection without a request is closed after this; more than the balancer keeps its own open').default(75_000),
  arrivalTimeoutMs: timeout('A request that takes longer to arrive is refused').default(10_000),
  drainTimeoutMs: timeout('How long a leaving instance lets requests in flight go on').default(60_000),
  claimKeptMs: z.number().int().min(SHORTEST_CLAIM_MS).default(3_600_000).describe('How long the claim of a non-idempotent request is remembered, milliseconds; a caller may send it again within.')
}).strict().describe('Limits on what one caller can hold.')

const distance = z.object({
  between: z.tuple([formatted(Format.Name), formatted(Format.Name)]).describe('Two failure domains.'),
  oneWayMs: z.number().min(0).max(1000).describe('One way between them, milliseconds.')
}).strict()

export const routerSchema = z.object({
  $schema: z.string().optional().describe('Path of the schema, for editors.'),
  name: formatted(Format.Name).describe('Name of this entry instance, unique among all.'),
  failureDomain: formatted(Format.Name).describe('Failure domain in which it runs.'),
  listen: endpoint('Where callers reach it.'),
  control: endpoint('Where operators and other entry instances reach it.'),
  gossip: endpoint('Where other entry instances send their state, UDP.'),
  peers: z.array(formatted(Format.Address)).default([]).describe('Gossip addresses of some other entry instances; the rest are learnt from them.'),
  platform,
  operators: z.array(operator).min(1).describe('Who may use the control port.'),
  memberKeys: z.array(memberKey).min(1).describe('Keys by which entry instances know each other; the first signs, each is accepted.'),
  logLevel: z.nativeEnum(LogLevel).default(LogLevel.Info).describe('Least level of a line that is logged.'),
  limits: limits.default({}),
  distances: z.array(distance).default([]).describe('One way between each two failure domains.')
}).strict()

export type RouterFile = z.output<typeof routerSchema>
