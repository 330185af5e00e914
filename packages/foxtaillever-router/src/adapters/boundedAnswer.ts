/** Reads answers to calls that this instance makes itself, within bounds in bytes and in time. */
import type { IncomingHttpHeaders } from 'node:http'
import { Agent, Pool, type Dispatcher } from 'undici'

const MIB = 1024 * 1024

/** Longest body of a server's answer to a call of this instance, bytes. */
const MAX_SERVER_BODY_BYTES = MIB

/** Longest body of an answer of the platform, bytes: a page of the log, or the whole list of instances. */
const MAX_PLATFORM_BODY_BYTES = 32 * MIB

/** Longest transfer of a body after its head, milliseconds. */
const MAX_TRANSFER_MS = 30_000

export interface WholeText {
  readonly status: number
  readonly headers: IncomingHttpHeaders
  readonly text: string
}

/** Connections to backend servers; those whose answers exceed the bound are closed. */
export function createServerAgent (): Agent {
  return new Agent({ maxResponseSize: MAX_SERVER_BODY_BYTES })
}

/** Connections to a service of the platform; those whose answers exceed the bound are closed. */
export function createPlatformPool (address: string, connections: number): Pool {
  return new Pool(`http://${address}`, { connections, maxResponseSize: MAX_PLATFORM_BODY_BYTES })
}

/**
 * Reads a whole answer; rejects if it exceeds a bound.
 * @param timeoutMs longest wait for the head, and longest pause of the body, milliseconds.
 * @param transferMs longest transfer of the body, milliseconds.
 */
export async function requestText (dispatcher: Dispatcher, call: Dispatcher.RequestOptions, timeoutMs: number, transferMs = MAX_TRANSFER_MS): Promise<WholeText> {
  const controller = new AbortController()
  const abort = (): void => controller.abort(new Error('no whole answer in time'))
  let timer = setTimeout(abort, timeoutMs)
  try {
    const { statusCode, headers, body } = await dispatcher.request({ ...call, headersTimeout: timeoutMs, bodyTimeout: timeoutMs, signal: controller.signal })
    clearTimeout(timer)
    timer = setTimeout(abort, transferMs)
    return { status: statusCode, headers, text: await body.text() }
  } finally {
    clearTimeout(timer)
  }
}
