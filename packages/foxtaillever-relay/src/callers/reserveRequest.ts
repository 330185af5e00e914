/** Reservations of a request, which end when its answer is written out or its connection closes. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { headBytesOf, Holding, requestBytesOf, Reservation, type ProcessBudget } from 'foxtaillever-policy/relay/processBudget'

/** Holds nothing yet. */
export function reserveUntilAnswered (budget: ProcessBudget, holding: Holding, response: ServerResponse): Reservation {
  const reservation = Reservation.create(budget, holding)
  response.once('close', () => reservation.end())
  return reservation
}

/** Reserves what the request takes beside its body; returns whether there is room. */
export function reserveRequest (budget: ProcessBudget, { url = '', rawHeaders }: IncomingMessage, response: ServerResponse): boolean {
  return reserveUntilAnswered(budget, Holding.Request, response).resize(requestBytesOf(url.length + headBytesOf(rawHeaders), rawHeaders.length / 2))
}
