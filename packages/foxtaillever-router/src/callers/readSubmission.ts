/** Reads a completions call into a submission, or says what is wrong with it. */
import { createHash, randomUUID } from 'node:crypto'
import {
  CallerHeader, EnginePath, Failure, FailureCode, presetOf, PriorityClass,
  type ClientAccount, type Clock, type Configuration, type Prompt
} from 'foxtaillever-core'
import { createChatPrompt, createTextPrompt } from 'foxtaillever-core/hashPrompt'
import { Left, Right, type Either } from 'purify-ts'
import { z } from 'zod'
import type { Submission } from '../core/request.js'

export type CompletionPath = EnginePath.Completions | EnginePath.ChatCompletions

const DEFAULT_MAX_TOKENS = 16
const MAX_COMPLETION_TOKENS = 32_768

/** Maximum time from now to a deadline, milliseconds. */
const MAX_TIMEOUT_MS = 3_600_000

const shared = {
  model: z.string().min(1).max(200),
  max_tokens: z.number().int().min(1).max(MAX_COMPLETION_TOKENS).nullish(),
  max_completion_tokens: z.number().int().min(1).max(MAX_COMPLETION_TOKENS).nullish(),
  stream: z.boolean().nullish(),
  stream_options: z.object({ include_usage: z.boolean().optional() }).nullish(),
  n: z.literal(1).nullish()
}

const textBody = z.object({ ...shared, prompt: z.string().min(1), prompt_levels: z.array(z.number().int().positive()).max(32).optional() })
const content = z.union([
  z.string(),
  z.array(z.object({ type: z.literal('text'), text: z.string() })).transform(parts => parts.map(part => part.text).join(''))
])
const chatBody = z.object({ ...shared, messages: z.array(z.object({ role: z.string().max(40), content })).min(1).max(1000) })

interface ReadBody {
  readonly model: string
  readonly maxTokens: number
  readonly stream: boolean
  readonly includeUsage: boolean
  readonly prompt: Prompt
  /** The body that is sent to the engine. */
  readonly forwarded: Record<string, unknown>
}

type BodyReader = (body: unknown) => z.SafeParseReturnType<unknown, ReadBody>

function readLimits (body: { max_tokens?: number | null, max_completion_tokens?: number | null, stream?: boolean | null, stream_options?: { include_usage?: boolean } | null }) {
  return {
    maxTokens: body.max_completion_tokens ?? body.max_tokens ?? DEFAULT_MAX_TOKENS,
    stream: body.stream ?? false,
    includeUsage: body.stream_options?.include_usage ?? false
  }
}

/** Created once, since creating a schema costs more than using it. */
const textReader = textBody.transform(({ prompt_levels: ends, ...read }): ReadBody => ({
  ...readLimits(read),
  model: read.model,
  prompt: createTextPrompt(read.prompt, ends),
  forwarded: { model: read.model, prompt: read.prompt, max_tokens: readLimits(read).maxTokens, stream: true }
}))

const chatReader = chatBody.transform((read): ReadBody => ({
  ...readLimits(read),
  model: read.model,
  prompt: createChatPrompt(read.messages),
  forwarded: { model: read.model, messages: read.messages, max_tokens: readLimits(read).maxTokens, stream: true }
}))

const readers: Record<CompletionPath, BodyReader> = {
  [EnginePath.Completions]: body => textReader.safeParse(body),
  [EnginePath.ChatCompletions]: body => chatReader.safeParse(body)
}

export interface CallContext {
  readonly headers: Readonly<Record<string, string | string[] | undefined>>
  readonly path: CompletionPath
  readonly body: unknown
  readonly account: ClientAccount
  readonly configuration: Configuration
  readonly clock: Clock
}

export interface ReadCall {
  readonly submission: Submission
  readonly stream: boolean
  readonly includeUsage: boolean
}

function headerOf (context: Pick<CallContext, 'headers'>, name: CallerHeader): string {
  const value = context.headers[name]
  return typeof value === 'string' ? value : ''
}

function badRequest (message: string): Failure {
  return Failure.notRun(FailureCode.BadRequest, message)
}

export function readDeadline (context: Pick<CallContext, 'headers' | 'configuration' | 'clock'>): Either<Failure, number> {
  const now = context.clock.now()
  const absolute = headerOf(context, CallerHeader.Deadline)
  const relative = headerOf(context, CallerHeader.Timeout)
  const deadline = absolute !== '' ? Number(absolute) : now + Number(relative || presetOf(context.configuration).defaultTimeoutMs)
  if (!Number.isFinite(deadline) || deadline > now + MAX_TIMEOUT_MS) {
    return Left(badRequest(`The deadline must be a number at most ${MAX_TIMEOUT_MS} ms ahead.`))
  }
  if (deadline <= now) {
    return Left(Failure.notRun(FailureCode.DeadlinePassed, 'The deadline had passed when the request arrived.'))
  }
  return Right(deadline)
}

const priorities = Object.values(PriorityClass)

/** A caller may request a lower class than that of its account, never a higher one. */
function readPriority (context: CallContext): Either<Failure, PriorityClass> {
  const requested = headerOf(context, CallerHeader.Priority)
  if (requested === '') {
    return Right(context.account.priority)
  }
  const rank = priorities.indexOf(requested as PriorityClass)
  if (rank < 0) {
    return Left(badRequest(`The priority must be one of ${priorities.join(', ')}.`))
  }
  const lowest = Math.max(rank, priorities.indexOf(context.account.priority))
  return Right(priorities[lowest] ?? context.account.priority)
}

function readBody (context: CallContext): Either<Failure, ReadBody> {
  const read = readers[context.path](context.body)
  if (!read.success) {
    const issue = read.error.issues[0]
    return Left(badRequest(`${issue?.path.join('.') || 'body'}: ${issue?.message ?? 'not understood'}`))
  }
  if (!Object.hasOwn(context.configuration.models, read.data.model)) {
    return Left(Failure.notRun(FailureCode.UnknownModel, `Model ${read.data.model} is not known here.`))
  }
  return Right(read.data)
}

function isNonIdempotent (context: CallContext): boolean {
  return ['1', 'true'].includes(headerOf(context, CallerHeader.NonIdempotent))
}

function fingerprint (account: string, prompt: Prompt): string {
  return createHash('sha256').update(account).update('\0').update(prompt.text).digest('hex').slice(0, 32)
}

const REQUEST_ID = /^[\w.-]{1,128}$/

function requestIdOf (context: CallContext): string {
  const given = headerOf(context, CallerHeader.RequestId)
  // The caller's id is kept as a prefix and made unique, since callers reuse ids for retries.
  return REQUEST_ID.test(given) ? `${given}.${randomUUID().slice(0, 8)}` : randomUUID()
}

export function readSubmission (context: CallContext): Either<Failure, ReadCall> {
  const idempotencyKey = headerOf(context, CallerHeader.IdempotencyKey)
  const nonIdempotent = isNonIdempotent(context)
  if (nonIdempotent && idempotencyKey === '') {
    return Left(badRequest('A non-idempotent request needs an idempotency key.'))
  }
  return readDeadline(context).chain(deadline =>
    readPriority(context).chain(priority =>
      readBody(context).map(body => ({
        stream: body.stream,
        includeUsage: body.includeUsage,
        submission: {
          path: context.path,
          body: body.forwarded,
          prompt: body.prompt,
          idempotencyKey,
          job: {
            id: requestIdOf(context),
            account: context.account.name,
            model: body.model,
            priority,
            idempotent: !nonIdempotent,
            arrivedAt: context.clock.now(),
            deadline,
            levels: body.prompt.levels,
            promptTokens: body.prompt.tokens,
            maxTokens: body.maxTokens,
            fingerprint: fingerprint(context.account.name, body.prompt)
          }
        }
      }))))
}
