/** Which of two servers a request goes on at if its instance stands still while both answer. */
import { connect, createServer, type AddressInfo, type Socket } from 'node:net'
import { setTimeout as wait } from 'node:timers/promises'
import { SystemClock } from 'foxtaillever-core'
import { describe, it } from 'foxtaillever-testing'
import type { AnswerHead } from '../../attempts/attempt.js'
import type { InFlightAttempt } from '../inFlightAttempt.js'
import { Replacements, type ReplacementsOptions } from '../replacements.js'
import { StepGuard } from '../../attempts/stepGuard.js'

/** Longer than the time for which two servers may work, milliseconds. */
const STALL_MS = 400

describe('an instance that stands still while a replacement has sent only its head', () => {
  // Guards against giving up the first server although its answer has arrived meanwhile.
  it('reads what has arrived before it gives up the first server', async t => {
    const events: string[] = []
    const server = createServer()
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
    const accepted = new Promise<Socket>(resolve => server.once('connection', resolve))
    const socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
    socket.on('data', () => events.push('data'))
    const peer = await accepted
    const replacement = {} as InFlightAttempt
    const replacements = Replacements.create({
      context: { clock: SystemClock.create(), log: { silenceEnded: () => {} } },
      attempts: { isReplacement: () => true, get isReplacing () { events.push('given up'); return false } },
      relay: { isEventStream: () => false, lastEventId: '', reset: () => {} },
      ledger: { recordActivity: () => {} },
      steps: StepGuard.create(error => { throw error })
    } as unknown as ReplacementsOptions)
    replacements.beginHolding(replacement, { status: 200 } as AnswerHead)
    peer.write('answer')
    const until = performance.now() + STALL_MS
    while (performance.now() < until) {
      // The process stands still.
    }
    await wait(50)
    socket.destroy()
    peer.destroy()
    server.close()
    t.deepEqual(events.slice(0, 2), ['data', 'given up'])
  })
})
