/** Calls the operators' address of one instance on the users' platform. */
import { EitherAsync } from 'purify-ts'
import { request } from 'undici'

const TIMEOUT_MS = 5000

/** Left says why the instance did not answer. */
export function callInstance (address: string, method: 'GET' | 'DELETE', path: string): EitherAsync<string, unknown> {
  return EitherAsync(async () => {
    const { statusCode, body } = await request(`http://${address}${path}`, { method, headersTimeout: TIMEOUT_MS, bodyTimeout: TIMEOUT_MS })
    const text = await body.text()
    if (statusCode !== 200) {
      throw new Error(`${address} answered with status ${statusCode}`)
    }
    return JSON.parse(text) as unknown
  }).mapLeft(error => (error as Error).message)
}
