/** Sends each request on a connection of its own, with so little work for the caller that it is not late itself at hundreds of connections a second. */
import { connect } from 'node:net'
import { waitUntil, type Clock } from 'foxtaillever-core'
import { HOST } from 'foxtaillever-platform/__fixtures__/caller'
import type { TimedRequest } from './cutStreams.js'

/** A request arrives one round trip after its connection is accepted, milliseconds. */
const ROUND_TRIP_MS = 40

/** One in so many callers opens its connection this long before it sends, as load balancers do, milliseconds. */
const EARLY_INTERVAL = 4
const EARLY_MS = 600

const TIMEOUT_MS = 5000

/** Callers leave a connection that stays without an answer after this time, milliseconds. */
const CALLER_TIMEOUT_MS = 8000

export interface NewConnectionsOptions {
  readonly clock: Clock
  /** Of the instances, which get the connections in turn. */
  readonly addresses: readonly string[]
  /** Begins the ids of all requests. */
  readonly name: string
  /** Of no route: the answer takes the instance little work, so that its connections are read as soon as it runs. */
  readonly path: string
  readonly perSecond: number
  readonly until: number
}

export async function sendOnNewConnections ({ clock, addresses, name, path, perSecond, until }: NewConnectionsOptions): Promise<readonly TimedRequest[]> {
  const pending: Array<Promise<TimedRequest>> = []
  const beganAt = clock.now()
  for (let count = 0; clock.now() < until; count += 1) {
    await waitUntil(clock, beganAt + count * 1000 / perSecond)
    const instance = count % addresses.length
    const sendsAfterMs = Math.floor(count / addresses.length) % EARLY_INTERVAL === 0 ? EARLY_MS : ROUND_TRIP_MS
    pending.push(send({ clock, address: addresses[instance] ?? '', instance, id: `${name}-${count}`, path, sendsAfterMs }))
  }
  return await Promise.all(pending)
}

interface NewConnection {
  readonly clock: Clock
  readonly address: string
  /** Index of the instance. */
  readonly instance: number
  readonly id: string
  readonly path: string
  /** From the connection to the request, milliseconds. */
  readonly sendsAfterMs: number
}

async function send ({ clock, address, instance, id, path, sendsAfterMs }: NewConnection): Promise<TimedRequest> {
  const [host, port] = address.split(':')
  const sentAt = clock.now()
  const socket = connect(Number(port), host)
  const text = `GET ${path} HTTP/1.1\r\nHost: ${HOST}\r\nX-Request-Id: ${id}\r\nX-Deadline-Ms: ${TIMEOUT_MS}\r\nAuthorization: Bearer key-acme\r\nConnection: close\r\n\r\n`
  let lastByteAt = Infinity
  let answer = ''
  let isEnded = false
  return await new Promise(resolve => {
    socket.once('connect', () => {
      clock.at(clock.now() + sendsAfterMs, () => socket.write(text, error => { lastByteAt = error ? Infinity : Date.now() }))
    })
    socket.on('data', bytes => { answer += String(bytes) })
    socket.on('end', () => { isEnded = true })
    // A reset shows as an answer that is not whole.
    socket.on('error', () => {})
    const timer = setTimeout(() => socket.destroy(), CALLER_TIMEOUT_MS)
    socket.on('close', () => {
      clearTimeout(timer)
      const status = Number(/^HTTP\/1\.1 (\d+)/.exec(answer)?.[1] ?? 0)
      const [, length = '0'] = /\r\nContent-Length: (\d+)/i.exec(answer) ?? []
      const body = answer.slice(answer.indexOf('\r\n\r\n') + 4)
      const reply = { status, headers: {}, body, isWhole: isEnded && body.length >= Number(length), isStamped: false, lastByteAt, answerBytes: socket.bytesRead }
      resolve({ id, instance, sentAt, endedAt: clock.now(), deadline: sentAt + TIMEOUT_MS, reply })
    })
  })
}
