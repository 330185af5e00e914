/** Probes a backend server on a new connection: any answer proves that the link to it works. */
import { request } from 'node:http'
import { atAfterSilence, type Clock } from 'foxtaillever-core'
import type { ServerCall } from '../servers/serverConnections.js'

export interface ProbeTarget {
  /** IP address and port. */
  readonly address: string
  readonly call: ServerCall
}

/** Error code of a connection to an address at which no process listens. */
const CONNECTION_REFUSED = 'ECONNREFUSED'

/**
 * @param deadline milliseconds of Unix time.
 * @param onRefused called if the server's address refused the connection.
 * @returns whether the server answered; never rejects.
 */
export async function probeServer ({ address, call: { method, path, headers } }: ProbeTarget, clock: Clock, deadline: number, onRefused: () => void = () => {}): Promise<boolean> {
  const [host, port] = address.split(':')
  return await new Promise(resolve => {
    const probe = request({ host, port, method, path, headers: headers as unknown as Record<string, string>, setHost: false, agent: false })
    const cancelTimeout = atAfterSilence(clock, deadline, () => finish(false))
    const finish = (isReached: boolean): void => {
      cancelTimeout()
      resolve(isReached)
      probe.destroy()
    }
    probe.on('information', () => finish(true))
    probe.on('response', () => finish(true))
    probe.on('error', ({ code }: NodeJS.ErrnoException) => {
      if (code === CONNECTION_REFUSED) {
        onRefused()
      }
      finish(false)
    })
    probe.end()
  })
}
