/**
 * Measures what reading the platform's log costs one daemon: an idle long poll over
 * HTTP, and the claim records, which every daemon reads.
 */
import { createServer, type Server } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { RecordKind, Verdict, type LogRecord } from 'foxtaillever-core'
import type { Claim, ClaimsRecord, Outcome } from 'foxtaillever-fleet'
import { Pool } from 'undici'
import { measureMicroseconds } from './timing.js'

export interface LogCost {
  /** One poll without new records: request, answer and their packet headers, bytes. */
  readonly pollBytes: number
  readonly pollMicroseconds: number
  /** One claim with its outcome in a record with many, bytes. */
  readonly claimBytes: number
  /** Time to parse one claim, microseconds, without the fold of claims. */
  readonly claimMicroseconds: number
}

const POLLS = 300
const CLAIMS = 20
/** IPv4 and TCP headers of a request, an answer and their acknowledgements. */
const PACKET_HEADER_BYTES = 4 * 52

function createClaim (index: number): Claim {
  return { key: `account-${index}/order-2026-12-02-${index}`, requestId: `request-${index}.1a2b3c4d`, digest: 'd'.repeat(64), createdAt: 1_790_000_000_000 }
}

function createOutcome (index: number): Outcome {
  const { key, requestId } = createClaim(index)
  return { key, requestId, claimOffset: 1_234_567, verdict: Verdict.Ran }
}

function createClaimsText (): string {
  const indexes = Array.from({ length: CLAIMS }, (_, index) => index)
  const body: ClaimsRecord = { instance: 'entry-123', incarnation: 'entry-123/0123456789abcdef', claims: indexes.map(createClaim), outcomes: indexes.map(createOutcome) }
  const record: LogRecord = { offset: 1_234_567, id: 'a'.repeat(32), kind: RecordKind.Claims, writtenAt: 1_790_000_000_000, appendedAt: 1_790_000_000_000, body }
  return JSON.stringify(record)
}

async function listen (server: Server): Promise<string> {
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', () => resolve()))
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`
}

async function measurePoll (): Promise<{ readonly bytes: number, readonly microseconds: number }> {
  const sockets = new Set<Socket>()
  const server = createServer((_, response) => {
    response.setHeader('content-type', 'application/json; charset=utf-8')
    response.end(JSON.stringify({ records: [], first: 1_000_000, next: 1_234_567, now: 1_790_000_000_000.123 }))
  })
  server.on('connection', socket => sockets.add(socket))
  const pool = new Pool(await listen(server), { connections: 1 })
  const cpu = process.cpuUsage()
  for (let index = 0; index < POLLS; index += 1) {
    const answer = await pool.request({ method: 'GET', path: '/log?from=1234567&wait=2000', headers: { 'content-type': 'application/json' } })
    JSON.parse(await answer.body.text())
  }
  const used = process.cpuUsage(cpu)
  const bytes = [...sockets].reduce((sum, socket) => sum + socket.bytesRead + socket.bytesWritten, 0)
  await pool.close()
  server.close()
  return { bytes: bytes / POLLS + PACKET_HEADER_BYTES, microseconds: (used.user + used.system) / POLLS }
}

export async function measureLog (): Promise<LogCost> {
  const poll = await measurePoll()
  const text = createClaimsText()
  return {
    pollBytes: poll.bytes,
    pollMicroseconds: poll.microseconds,
    claimBytes: text.length / CLAIMS,
    claimMicroseconds: measureMicroseconds(() => { JSON.parse(text) }) / CLAIMS
  }
}
