/**
 * Applies crashes and freezes of the model to its server: a crash closes every
 * connection and refuses new ones until the restart; a frozen engine keeps
 * connections open without answering.
 */
import type { AddressInfo } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import type { FastifyInstance } from 'fastify'
import type { EngineModel } from './engineModel.js'

/** How often a waiting call checks whether the engine is still frozen, milliseconds. */
const FROZEN_CHECK_INTERVAL_MS = 20

export async function waitWhileFrozen (model: EngineModel): Promise<void> {
  while (model.faults.frozen) {
    await sleep(FROZEN_CHECK_INTERVAL_MS)
  }
}

export function closeServerOnCrash (server: FastifyInstance, model: EngineModel): void {
  let closing = false
  server.addHook('onClose', async () => { closing = true })
  model.onCrash(() => {
    const listener = server.server
    const address = listener.address() as AddressInfo | null
    // The call that requested the crash is answered before its connection closes.
    setImmediate(() => listener.closeAllConnections())
    if (!address || model.faults.restartMs === 0) {
      return
    }
    listener.close()
    const restartTimer = setTimeout(() => {
      if (!closing) {
        listener.listen(address.port, address.address)
      }
    }, model.faults.restartMs)
    restartTimer.unref()
  })
}
