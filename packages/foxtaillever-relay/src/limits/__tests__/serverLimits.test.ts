import { describe, it, VirtualClock } from 'foxtaillever-testing'
import { createExchange } from '../../__fixtures__/createExchange.js'
import { LimitStatementKind, noLimit, type LimitStatement } from '../../model/limitStatement.js'
import { ServerState } from '../../model/listedServer.js'
import { ServerDirectory } from '../../servers/serverDirectory.js'
import { LimitFleet, serverLimits } from '../__fixtures__/limitFleet.js'
import { LimitHistory } from '../__fixtures__/limitHistory.js'
import { noSharedLimits } from '../limitProtocol.js'
import { LimitAdmission, ServerLimits } from '../serverLimits.js'

const KEY = '4711'

/** Load on an overloaded server, as a multiple of its limit. */
const PRESSURE = 6

function rateOf (perSecond: number): LimitStatement {
  return { kind: LimitStatementKind.Limit, perSecond }
}

/** One instance and one server; counts the urgent announcements to other instances. */
class Rig {
  readonly clock = VirtualClock.create()
  private readonly beganAt = this.clock.now()
  readonly directory = ServerDirectory.create({ onChanged: () => {} })
  urgentCount = 0
  readonly limits = ServerLimits.create({
    clock: this.clock,
    directory: this.directory,
    log: { belief: () => {}, limitUnreadable: () => {}, sentUnderLimit: () => {}, serverLimitRefused: () => {} },
    protocol: () => noSharedLimits,
    onUrgent: () => { this.urgentCount += 1 }
  })

  constructor () {
    this.start(0)
  }

  get server (): NonNullable<ReturnType<ServerDirectory['get']>> {
    const server = this.directory.get('s')
    if (!server) {
      throw new Error('The server is gone.')
    }
    return server
  }

  start (startedAt: number): void {
    this.directory.applyEntry({ id: 's', startedAt, service: 'plain', address: '127.0.0.1:1', failureDomain: 'd', slots: 6, state: ServerState.Ready, coldLeftMs: 0, softwareVersion: 'v1', weights: new Map() }, startedAt)
  }

  /** @param sentMs when the answer's request was sent, milliseconds since the rig started. */
  answer (limit: LimitStatement, sentMs: number, isNotRun = false): void {
    this.limits.applyStatement(this.server, { limit, hasRun: !isNotRun }, this.beganAt + sentMs)
  }

  /** Whether a request is counted against a limit. */
  get isLimited (): boolean {
    let found = LimitAdmission.Free
    this.limits.admit(this.server, createExchange(this.clock.now()), admission => { found = admission })
    return found !== LimitAdmission.Free
  }
}

describe('a limit that a server states', () => {
  it('lasts until an answer to a later request states none', async t => {
    const rig = new Rig()
    await rig.clock.advanceBy(1000)
    rig.answer(rateOf(1.1), 500)
    t.true(rig.isLimited)
    await rig.clock.advanceBy(1000)
    rig.answer(noLimit, 1500)
    t.false(rig.isLimited)
  })

  // Guards against an answer that a frozen instance reads seconds late.
  it('is not ended by an answer to an earlier request', async t => {
    const rig = new Rig()
    await rig.clock.advanceBy(1000)
    rig.answer(rateOf(1.1), 500)
    rig.answer(noLimit, 900)
    t.true(rig.isLimited)
  })

  it('is not ended by a rejection, nor by a text that is not a rate', async t => {
    const rig = new Rig()
    rig.answer(rateOf(1.1), 0)
    await rig.clock.advanceBy(1000)
    rig.answer(noLimit, 900, true)
    rig.answer({ kind: LimitStatementKind.Unreadable, text: 'soon' }, 900)
    t.true(rig.isLimited)
  })

  it('can begin with a rejection', t => {
    const rig = new Rig()
    rig.answer(rateOf(2), 0, true)
    t.true(rig.isLimited)
  })

  // Guards against applying a limit of one incarnation to the next.
  it('ends with the server\'s process', t => {
    const rig = new Rig()
    rig.answer(rateOf(1.1), 0)
    rig.start(7)
    t.false(rig.isLimited)
    t.deepEqual(rig.limits.updates(), [])
  })

  it('is announced at once when it begins, falls far or ends, and with the heartbeats otherwise', async t => {
    const rig = new Rig()
    const announced: number[] = []
    for (const [index, limit] of [rateOf(10), rateOf(9), rateOf(12), rateOf(2), noLimit].entries()) {
      await rig.clock.advanceBy(100)
      rig.answer(limit, (index + 1) * 100)
      announced.push(rig.urgentCount)
    }
    t.deepEqual(announced, [1, 1, 1, 2, 3])
  })

  // Guards against heartbeats that announce a limit's end for as long as the server answers.
  it('has its end announced for some seconds only, however many answers follow', async t => {
    const rig = new Rig()
    rig.answer(rateOf(1.1), 0)
    for (let second = 1; second <= 6; second += 1) {
      await rig.clock.advanceBy(1000)
      rig.answer(noLimit, second * 1000 - 100)
    }
    t.deepEqual(rig.limits.updates(), [])
  })

  // Guards against an old message of another instance that restores an ended limit.
  it('is not restored by what another instance received before its end', async t => {
    const rig = new Rig()
    rig.answer(rateOf(1.1), 0)
    await rig.clock.advanceBy(2000)
    rig.answer(noLimit, 1500)
    rig.limits.applyUpdates([{ server: rig.server.hash, perSecond: 1.1, ageMs: 800 }])
    t.false(rig.isLimited)
    rig.limits.applyUpdates([{ server: rig.server.hash, perSecond: 1.1, ageMs: 100 }])
    t.true(rig.isLimited)
  })
})

describe('requests to an overloaded server', () => {
  for (const size of [6, 70, 380]) {
    for (const perSecond of [0.25, 1.1, 10]) {
      // Guards against a share per instance, rounded up or down.
      it(`stay within ${perSecond} a second from ${size} instances, and use the limit`, async t => {
        const fleet = await LimitFleet.start(size, 1, serverLimits.kind)
        const limit = { perSecond, burst: 0, revision: fleet.clock.now() }
        await fleet.load(KEY, () => limit, perSecond * PRESSURE, 1, 16_000)
        const admitted = fleet.admitted(KEY)
        t.true(fleet.maxInWindow(admitted) <= serverLimits.allowed(limit), `${fleet.maxInWindow(admitted)} of ${serverLimits.allowed(limit)}`)
        t.true(admitted.length >= 0.8 * perSecond * 16, `${admitted.length} of ${perSecond * 16}`)
      })
    }
  }

  // Guards against owners that join, leave or disagree, each admitting the whole limit.
  for (const seed of [1, 2, 3, 4, 5, 6, 7, 8]) {
    it(`stay within the limit through drawn faults, seed ${seed}`, async t => {
      const { changes, worst } = await LimitHistory.play(seed, seed % 2 === 0 ? 6 : 70, serverLimits)
      t.true(worst <= 1, `${worst.toFixed(2)} of what is allowed, with ${changes.join(', ')}`)
    })
  }
})
