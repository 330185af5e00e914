import { SystemClock } from 'foxtaillever-core'
import { describe, it } from 'foxtaillever-testing'
import { BackendServer } from '../backendServer.js'
import { createPlainRunner } from '../plainRunner.js'

const RESTART_MS = 20

describe('BackendServer', () => {
  // Guards against two restarts of a stand-in that crashes again before it has restarted.
  it('starts once after two crashes in a row', async t => {
    const clock = SystemClock.create()
    let starts = 0
    const server = BackendServer.create({ name: 'plain', clock, softwareVersion: 'v1', restartMs: RESTART_MS, onCrashed: () => {}, onStarted: () => { starts += 1 } }, createPlainRunner(clock, { workMs: 1, slots: 1, maxWaiting: 0 }))
    await server.listen()
    server.crash(true)
    server.crash(true)
    await new Promise(resolve => setTimeout(resolve, 10 * RESTART_MS))
    t.is(starts, 2)
    server.close()
  })
})
