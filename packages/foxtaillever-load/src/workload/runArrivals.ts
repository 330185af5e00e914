/** Sends arrivals at their scheduled times and collects the answers. */
import { Agent } from 'undici'
import { keyOf } from '../deployment/keyOf.js'
import type { Answer } from './answer.js'
import { ArrivalKind, type Arrival } from './arrival.js'
import { sendPlain } from './sendPlain.js'
import { sendRequest } from './sendRequest.js'
import type { Sending } from './sending.js'

/** Maximum number of callers' connections to one entry instance. */
const MAX_CONNECTIONS = 2000

type Sender = (sending: Sending, arrival: Arrival, intendedAt: number) => Promise<Answer>

const senders: Record<ArrivalKind, Sender> = {
  [ArrivalKind.Language]: sendRequest,
  [ArrivalKind.Lookup]: sendPlain,
  [ArrivalKind.Export]: sendPlain
}

export interface RunOptions {
  /** Returns the API key of an account. */
  readonly keyOf?: (account: string) => string
  readonly onAnswer?: (answer: Answer) => void
}

export async function runArrivals (addresses: readonly string[], arrivals: readonly Arrival[], options: RunOptions = {}): Promise<Answer[]> {
  const dispatcher = new Agent({ connections: MAX_CONNECTIONS })
  const start = performance.now()
  const send = async (arrival: Arrival): Promise<Answer> => {
    const intendedAt = start + arrival.offsetMs
    const sendAt = intendedAt + arrival.clientDelayMs
    await new Promise(resolve => setTimeout(resolve, sendAt - performance.now()))
    const address = addresses[arrival.entry % addresses.length] ?? ''
    const key = (options.keyOf ?? keyOf)(arrival.account)
    const answer = await senders[arrival.kind]({ address, key, dispatcher }, arrival, intendedAt)
    options.onAnswer?.(answer)
    return answer
  }
  const answers = await Promise.all(arrivals.map(send))
  await dispatcher.destroy()
  return answers
}
