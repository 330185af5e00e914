import type { ServerResponse } from 'node:http'
import { Failure, FailureCode } from 'foxtaillever-core'
import { describe, it } from 'foxtaillever-testing'
import { answerFailure } from '../answerFailure.js'

/** The Retry-After header that a caller gets, seconds. */
function retryAfter (retryAt: number, now: number): string {
  let headers: readonly string[] = []
  const response = { writeHead: (_status: number, written: readonly string[]) => { headers = written }, end: () => {} }
  answerFailure(response as unknown as ServerResponse, Failure.notRun(FailureCode.Overloaded, 'Full.', retryAt), now)
  return headers[headers.indexOf('Retry-After') + 1] ?? ''
}

describe('the retry time of a refused request', () => {
  // Guards against a time of 0.00, which promises room at once, and against one before there is room.
  it('is never earlier than there is room, and never zero', t => {
    const now = 1_700_000_000_000.25
    for (let ms = -2; ms <= 40; ms += 0.5) {
      const seconds = Number(retryAfter(now + ms, now))
      t.true(seconds > 0, `${seconds} s for ${ms} ms`)
      t.true(seconds * 1000 >= ms - 1e-3, `${seconds} s for ${ms} ms`)
      t.true(seconds * 1000 <= Math.max(0, ms) + 10 + 1e-3, `${seconds} s for ${ms} ms`)
    }
  })
})
