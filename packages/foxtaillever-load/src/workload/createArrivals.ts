/**
 * Open-loop arrivals of requests with nested shared prompts, from a seed. An
 * arrival has its instant whether or not the system keeps up.
 */
import { CHARACTERS_PER_TOKEN, exponential, type ChatMessage, type Random } from 'foxtaillever-core'
import type { Shape } from '../deployment/shape.js'

export interface Arrival {
  /** Milliseconds after the start of the run. */
  readonly offsetMs: number
  readonly account: string
  readonly model: string
  readonly messages: readonly ChatMessage[]
  readonly maxTokens: number
  /** Entry instance that the balancer picks. */
  readonly entry: number
}

export interface ArrivalOptions {
  readonly shape: Shape
  readonly random: Random
  readonly requestsPerSecond: number
  readonly seconds: number
}

/** Text of a given length that is the same for the same name. */
export function fillText (name: string, tokens: number): string {
  return `${name} `.repeat(Math.ceil(tokens * CHARACTERS_PER_TOKEN / (name.length + 1))).slice(0, tokens * CHARACTERS_PER_TOKEN)
}

function pickAccount (shape: Shape, random: Random): string {
  const total = shape.accounts.reduce((sum, account) => sum + account.arrivals, 0)
  let left = random.next() * total
  const picked = shape.accounts.find(account => {
    left -= account.arrivals
    return left < 0
  })
  return (picked ?? shape.accounts[0])?.name ?? ''
}

/** A few entries are hot: half of all draws go to the first one. */
function pickHot (count: number, random: Random): number {
  return random.next() < 0.5 ? 0 : random.below(count)
}

export function createArrivals (options: ArrivalOptions): Arrival[] {
  const { shape, random, requestsPerSecond, seconds } = options
  const arrivals: Arrival[] = []
  let offsetMs = 0
  while (true) {
    offsetMs += exponential(random, 1000 / requestsPerSecond)
    if (offsetMs >= seconds * 1000) {
      return arrivals
    }
    const account = pickAccount(shape, random)
    const catalogue = `${account} catalogue ${pickHot(shape.catalogues, random)}`
    const tenant = `${catalogue} tenant ${pickHot(shape.tenants, random)}`
    arrivals.push({
      offsetMs,
      account,
      model: shape.model,
      messages: [
        { role: 'system', content: fillText(catalogue, shape.catalogueTokens) },
        { role: 'system', content: fillText(tenant, shape.tenantTokens) },
        { role: 'user', content: fillText(`question ${arrivals.length} of ${random.below(1_000_000)}`, shape.questionTokens) }
      ],
      maxTokens: shape.answerTokens,
      entry: random.below(shape.instances)
    })
  }
}
