/** Parses Retry-After, the HTTP header by which a server that refuses a request asks callers to back off. */
import { Left, Right, type Either } from 'purify-ts/Either'

/** With other statuses the header applies to the request, not to the server. */
const SERVICE_UNAVAILABLE = 503

/** Fractions are allowed. A date is not, because the clocks of servers and instances differ. */
const SECONDS = /^\d+(\.\d+)?$/

/** The backoff in milliseconds; 0 if none is requested. Left: a text that is not a number of seconds. */
export function readRetryAfter (status: number, text: string | undefined): Either<string, number> {
  if (status !== SERVICE_UNAVAILABLE || text === undefined) {
    return Right(0)
  }
  return SECONDS.test(text.trim()) ? Right(Number(text) * 1000) : Left(text)
}
