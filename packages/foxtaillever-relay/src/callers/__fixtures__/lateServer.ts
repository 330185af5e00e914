/** A server for callers in real time whose instance falls behind while others do not. */
import { once } from 'node:events'
import { connect, type Socket } from 'node:net'
import { blockEventLoopUntil } from 'foxtaillever-testing'
import { SystemClock } from 'foxtaillever-core'
import { Logs } from 'foxtaillever-telemetry'
import { Left, type Either } from 'purify-ts'
import { RelayLog } from '../../telemetry/relayLog.js'
import { CallerServer } from '../callerServer.js'

/** Longer than the delay from which new connections are limited, milliseconds. */
const STALL_MS = 150

/** Longer than a request may have arrived when its connection ends without an answer, milliseconds. */
export const LATE_MS = 400

/** After so many more stalls the limit is at its smallest. */
const STALLS_UNTIL_SMALLEST = 6

/** Answer to each request that is read. */
export const READ = 'the request was read'

export interface LateServer {
  readonly server: CallerServer
  readonly port: number
  /** A connection from before the server was late. */
  readonly client: Socket
}

const clock = SystemClock.create()

/** Blocks the event loop, as a process that gets no processor time. */
export function stall (ms = STALL_MS): void {
  blockEventLoopUntil(clock.now() + ms)
}

/** Lets timers and sockets have one turn of the event loop each. */
async function takeTurn (): Promise<void> {
  await new Promise(resolve => setImmediate(() => setImmediate(resolve)))
}

/** @param workMs of the event loop for each request. */
async function startServer (workMs: number, onLine: (line: string) => void): Promise<{ readonly server: CallerServer, readonly port: number }> {
  const log = RelayLog.create(Logs.create({ instance: 'i', level: 'info', clock, destination: { write: onLine } }))
  const readHead = (): Either<string, never> => {
    stall(workMs)
    return Left(READ)
  }
  const server = CallerServer.create({ clock, wire: { readHead }, log, table: () => undefined, onExchange: () => {}, othersDelayMs: () => 0 })
  return { server, port: await server.listen('127.0.0.1', 0) }
}

/** Starts a server that is in time until requests come. */
export async function startBusyServer (workMs: number): Promise<{ readonly server: CallerServer, readonly port: number }> {
  return await startServer(workMs, () => {})
}

/** Starts a server and makes it late until its limit of new connections is at its smallest. */
export async function startLateServer (): Promise<LateServer> {
  const lines: string[] = []
  const { server, port } = await startServer(0, line => { lines.push(line) })
  const client = connect(port, '127.0.0.1')
  await once(client, 'connect')
  let stallsLeft = STALLS_UNTIL_SMALLEST
  while (stallsLeft > 0) {
    stall()
    await takeTurn()
    stallsLeft -= lines.some(line => line.includes('since this instance falls behind')) ? 1 : 0
  }
  return { server, port, client }
}
