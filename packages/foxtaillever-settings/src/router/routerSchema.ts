/**
 * Schema of an entry instance's settings file. Descriptions are shown by
 * editors and in diagnostics about missing settings.
 */
import { z } from 'zod'
import { Format, formatted } from '../document/formats.js'
import { LogLevel } from './routerSettings.js'

/** A shorter timeout is most likely in seconds by mistake. */
const MIN_TIMEOUT_MS = 100

/** One day; no timeout needs to be longer. */
const MAX_TIMEOUT_MS = 86_400_000

/** With a shorter retention, the log could not preserve a configuration through an outage. */
const MIN_RETENTION_MS = 60_000

/** Callers need at least this time to retry. */
const MIN_CLAIM_KEPT_MS = 1000

/** Enough for a chat request of a few tokens; a smaller limit is most likely in megabytes by mistake. */
const MIN_BODY_BYTES = 1024

/** Bounded, because a body is held in memory while its request waits. */
const MAX_BODY_BYTES = 64 * 1024 * 1024

export function timeout (what: string): z.ZodNumber {
  return z.number().int().min(MIN_TIMEOUT_MS).max(MAX_TIMEOUT_MS).describe(`${what}, milliseconds.`)
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
  logRetentionMs: z.number().int().min(MIN_RETENTION_MS).describe('How long the log keeps records, milliseconds.')
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
  bodyBytes: z.number().int().min(MIN_BODY_BYTES).max(MAX_BODY_BYTES).default(4 * 1024 * 1024).describe('Largest body of a request, bytes.'),
  headerBytes: z.number().int().min(1024).max(1024 * 1024).default(16 * 1024).describe('Largest headers of a request, bytes.'),
  idleTimeoutMs: timeout('A connection without a request is closed after this; more than the balancer keeps its own open').default(75_000),
  arrivalTimeoutMs: timeout('A request that takes longer to arrive is refused').default(10_000),
  drainTimeoutMs: timeout('How long a leaving instance lets requests in flight go on').default(60_000),
  claimKeptMs: z.number().int().min(MIN_CLAIM_KEPT_MS).default(3_600_000).describe('How long the claim of a non-idempotent request is remembered, milliseconds; a caller may send it again within.'),
  memoryMb: z.number().int().min(64).max(1024 * 1024).optional().describe('Memory that the process may use, megabytes of 1024 * 1024 bytes; if not given, 256 more than its heap may grow to.'),
  descriptors: z.number().int().min(264).max(1024 * 1024).default(16_384).describe('Descriptors that the process may have open; half of those beside 200 for files are for the connections of callers.')
}).strict().describe('Limits on what one caller can hold, and all callers together.')

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
