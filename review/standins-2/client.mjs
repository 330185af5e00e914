/** A client that sends one attempt on a new channel and reads the whole answer. */
import { request } from 'node:http'

/** Resolves to `status`, `headers`, `body` and `isWhole`; `status` is 0 where the channel closed without an answer. */
export async function send (address, { method = 'POST', host, path, headers = {}, body = '', id, key, deadlineMs, giveUpMs = deadlineMs }) {
  const colon = address.lastIndexOf(':')
  return await new Promise(resolve => {
    const sentAt = Date.now()
    let result = { status: 0, headers: {}, body: '', isWhole: false }
    const finish = () => {
      clearTimeout(timer)
      resolve({ ...result, sentAt, answeredAt: Date.now() })
    }
    const call = request({ host: address.slice(0, colon), port: Number(address.slice(colon + 1)), agent: false, method, path, headers: { Host: host, 'X-Request-Id': id, 'X-Deadline-Ms': deadlineMs, Authorization: `Bearer ${key}`, ...(body === '' ? {} : { 'Content-Length': Buffer.byteLength(body) }), ...headers } })
    const timer = setTimeout(() => call.destroy(), giveUpMs)
    call.on('error', finish)
    call.on('response', response => {
      result = { ...result, status: response.statusCode, headers: response.headers }
      response.setEncoding('latin1')
      response.on('data', text => { result.body += text })
      response.on('error', finish)
      response.on('close', () => {
        result.isWhole = response.complete
        finish()
      })
    })
    call.end(body)
  })
}

export const pause = ms => new Promise(resolve => setTimeout(resolve, ms))

/** Waits until a condition holds; throws after the time. */
export async function waitFor (what, condition, ms = 20_000) {
  const until = Date.now() + ms
  while (!await condition()) {
    if (Date.now() > until) {
      throw new Error(`${what}: not within ${ms} ms`)
    }
    await pause(100)
  }
}
