/** Sends arrivals at their instants and gathers the answers. */
import { Agent } from 'undici'
import type { Arrival } from './createArrivals.js'
import { sendRequest, type Answer } from './sendRequest.js'

/** Callers' connections to one entry instance at most. */
const CONNECTIONS = 2000

export async function runArrivals (addresses: readonly string[], arrivals: readonly Arrival[]): Promise<Answer[]> {
  const dispatcher = new Agent({ connections: CONNECTIONS })
  const start = performance.now()
  const answers = await Promise.all(arrivals.map(async arrival => {
    const intendedAt = start + arrival.offsetMs
    await new Promise(resolve => setTimeout(resolve, intendedAt - performance.now()))
    return await sendRequest(addresses[arrival.entry % addresses.length] ?? '', arrival, intendedAt, dispatcher)
  }))
  await dispatcher.destroy()
  return answers
}
