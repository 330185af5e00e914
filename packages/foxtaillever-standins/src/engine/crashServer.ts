/**
 * What a crash or a freeze of the model means for its socket: a crash cuts every
 * connection and refuses new ones until the restart; a frozen engine holds them.
 */
import type { AddressInfo } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import type { FastifyInstance } from 'fastify'
import type { EngineModel } from './engineModel.js'

/** How often a held call looks whether the engine moves again, milliseconds. */
const FROZEN_LOOK_MS = 20

export async function waitWhileFrozen (model: EngineModel): Promise<void> {
  while (model.faults.frozen) {
    await sleep(FROZEN_LOOK_MS)
  }
}

export function crashWith (server: FastifyInstance, model: EngineModel): void {
  let closing = false
  server.addHook('onClose', async () => { closing = true })
  model.onCrash(() => {
    const listener = server.server
    const address = listener.address() as AddressInfo | null
    // The call that asked for the crash is answered before its connection goes.
    setImmediate(() => listener.closeAllConnections())
    if (!address || model.faults.restartMs === 0) {
      return
    }
    listener.close()
    const back = setTimeout(() => {
      if (!closing) {
        listener.listen(address.port, address.address)
      }
    }, model.faults.restartMs)
    back.unref()
  })
}
