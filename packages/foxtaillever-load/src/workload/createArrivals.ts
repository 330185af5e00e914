/**
 * Generates open-loop arrivals of requests with nested shared prompts from a
 * seed. Arrival times don't depend on whether the system keeps up.
 */
import { exponential, type ChatMessage, type Random } from 'foxtaillever-core'
import type { AccountShape, Shape } from '../deployment/shape.js'
import { ArrivalKind, type Arrival } from './arrival.js'
import { fillText, sharedText } from './prompts.js'

export interface ArrivalOptions {
  readonly shape: Shape
  readonly random: Random
  readonly requestsPerSecond: number
  readonly seconds: number
  /** Prefix of each id, so that several runs may share engines. */
  readonly idPrefix?: string
}

/** Share of draws that go to the currently popular entry. */
const HOT_SHARE = 0.5

function pickAccount (shape: Shape, random: Random): AccountShape {
  const total = shape.accounts.reduce((sum, account) => sum + account.arrivals, 0)
  let left = random.next() * total
  const picked = shape.accounts.find(account => {
    left -= account.arrivals
    return left < 0
  })
  return picked ?? shape.accounts[0] as AccountShape
}

/** Picks the popular entry in half of all draws, else any entry; the popular entry changes with time. */
function pickHot (count: number, shift: number, random: Random): number {
  return random.next() < HOT_SHARE ? shift % count : random.below(count)
}

function pickKind (shape: Shape, random: Random): ArrivalKind {
  const drawn = random.next()
  if (drawn < shape.lookupShare) {
    return ArrivalKind.Lookup
  }
  return drawn < shape.lookupShare + shape.exportShare ? ArrivalKind.Export : ArrivalKind.Language
}

/** Records which prefixes have been drawn, to compute how many tokens could have been cached. */
class SeenPrefixes {
  private readonly names = new Set<string>()

  private constructor () {}

  static create (): SeenPrefixes {
    return new SeenPrefixes()
  }

  /** Records these nested prefixes; returns the length in tokens of the longest that had been recorded before. */
  recordPrefixes (prefixes: ReadonlyArray<{ readonly name: string, readonly tokens: number }>): number {
    const known = prefixes.filter(prefix => this.names.has(prefix.name)).map(prefix => prefix.tokens)
    prefixes.forEach(prefix => this.names.add(prefix.name))
    return Math.max(0, ...known)
  }
}

interface DrawnPrompt {
  readonly messages: readonly ChatMessage[]
  readonly sharedTokens: number
}

function drawPrompt (options: ArrivalOptions, account: string, offsetMs: number, serial: number, seen: SeenPrefixes): DrawnPrompt {
  const { shape, random } = options
  const shift = Math.floor(offsetMs / shape.hotShiftMs)
  const catalogue = `${account} catalogue ${pickHot(shape.catalogues, shift, random)}`
  const tenant = `${catalogue} tenant ${pickHot(shape.tenants, shift, random)}`
  const question = `question ${serial} of ${random.below(1_000_000)}`
  return {
    messages: [
      { role: 'system', content: sharedText(catalogue, shape.catalogueTokens) },
      { role: 'system', content: sharedText(tenant, shape.tenantTokens) },
      { role: 'user', content: fillText(question, shape.questionTokens) }
    ],
    sharedTokens: seen.recordPrefixes([
      { name: catalogue, tokens: shape.catalogueTokens },
      { name: tenant, tokens: shape.catalogueTokens + shape.tenantTokens }
    ])
  }
}

/** Answers are short or long in a fixed mix, so that long answers are mixed with short ones. */
function drawMaxTokens (shape: Shape, random: Random): number {
  return random.next() < shape.longAnswerShare ? shape.answerTokens * shape.longAnswerFactor : shape.answerTokens
}

export function createArrivals (options: ArrivalOptions): Arrival[] {
  const { shape, random, requestsPerSecond, seconds, idPrefix = 'load' } = options
  const seen = SeenPrefixes.create()
  const arrivals: Arrival[] = []
  let offsetMs = 0
  while (true) {
    offsetMs += exponential(random, 1000 / requestsPerSecond)
    if (offsetMs >= seconds * 1000) {
      return arrivals
    }
    const account = pickAccount(shape, random)
    const kind = pickKind(shape, random)
    const drawn = kind === ArrivalKind.Language
      ? drawPrompt(options, account.name, offsetMs, arrivals.length, seen)
      : { messages: [], sharedTokens: 0 }
    arrivals.push({
      id: `${idPrefix}-${arrivals.length}`,
      kind,
      offsetMs,
      account: account.name,
      priority: account.priority,
      model: shape.model,
      ...drawn,
      maxTokens: drawMaxTokens(shape, random),
      entry: random.below(shape.instances),
      clientDelayMs: shape.clientDelayMs
    })
  }
}
