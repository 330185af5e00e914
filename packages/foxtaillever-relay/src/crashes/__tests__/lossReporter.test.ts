import { describe, it, VirtualClock } from 'foxtaillever-testing'
import { DatagramKind } from '../../peers/datagram.js'
import type { CrashMessage, CrashReport } from '../crashMessage.js'
import { LossReporter, type Loss } from '../lossReporter.js'

const causes = { request: 'r', account: 'acme', levels: [] }

interface Rig {
  readonly clock: VirtualClock
  readonly reporter: LossReporter
  readonly sent: CrashMessage[]
}

function createRig (): Rig {
  const clock = VirtualClock.create()
  const sent: CrashMessage[] = []
  const reporter = LossReporter.create({ clock, log: { crashReported: () => {} }, address: () => 'own', sendToDeciders: message => sent.push(message) })
  return { clock, reporter, sent }
}

function createLoss (clock: VirtualClock, server: number, changes: Partial<Loss>): Loss {
  const now = clock.now()
  return { service: 's', server, sentAt: now - 1, brokenAt: now, lostAt: now, answeredAt: undefined, hasEnded: false, ...changes }
}

function reportsIn (sent: readonly CrashMessage[]): CrashReport[] {
  return sent.flatMap(message => message.kind === DatagramKind.CrashReport ? [message] : [])
}

describe('LossReporter', () => {
  // Guards against sound requests that are blamed, and not retried, since one server resets all their connections.
  it('counts a server once, and not what was sent after its connections began to break', async t => {
    const { clock, reporter, sent } = createRig()
    const brokenAt = clock.now()
    reporter.recordLoss(causes, createLoss(clock, 1, {}), false)
    for (let count = 0; count < 5; count += 1) {
      await clock.advanceBy(200)
      reporter.recordLoss(causes, createLoss(clock, 1, { brokenAt }), false)
    }
    await clock.advanceBy(500)
    t.is(reporter.crashesWith('r'), 1)
    t.deepEqual(new Set(reportsIn(sent).map(({ lost }) => lost.length)), new Set([1]))
  })

  // Guards against other instances that take the loss of a later request for the time of the crash.
  it('reports when connections began to break, also without a request that was in flight', async t => {
    const { clock, reporter, sent } = createRig()
    const brokenAt = clock.now()
    await clock.advanceBy(300)
    reporter.recordLoss(causes, createLoss(clock, 1, { brokenAt }), false)
    await clock.advanceBy(10)
    const [report] = reportsIn(sent)
    t.deepEqual(report?.lost, [])
    t.is(Math.round(report?.ageMs ?? 0), 310)
    t.is(reporter.crashesWith('r'), 0)
  })

  // Guards against a request that is refused a retry for good because servers once crashed beside it.
  it('forgets the crashes of a request that is answered', t => {
    const { clock, reporter } = createRig()
    ;[1, 2].forEach(server => reporter.recordLoss(causes, createLoss(clock, server, {}), false))
    t.is(reporter.crashesWith('r'), 2)
    reporter.recordAnswer('r')
    t.is(reporter.crashesWith('r'), 0)
  })
})
