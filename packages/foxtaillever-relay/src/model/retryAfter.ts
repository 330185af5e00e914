/** The HTTP header by which a server that turns a request away asks for rest. */
import { Left, Right, type Either } from 'purify-ts/Either'

/** With other statuses the header speaks of the request, not of the server. */
const SERVICE_UNAVAILABLE = 503

/** Fractions are allowed. A date is not: clocks of servers and instances differ. */
const SECONDS = /^\d+(\.\d+)?$/

/** Milliseconds; 0 where no rest is asked for. Left: a text that is no time. */
export function readRetryAfter (status: number, text: string | undefined): Either<string, number> {
  if (status !== SERVICE_UNAVAILABLE || text === undefined) {
    return Right(0)
  }
  return SECONDS.test(text.trim()) ? Right(Number(text) * 1000) : Left(text)
}
