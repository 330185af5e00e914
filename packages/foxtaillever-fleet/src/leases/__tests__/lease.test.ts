import { SeededRandom } from 'foxtaillever-core'
import { LocalLog, LogModel } from 'foxtaillever-standins'
import { describe, it, VirtualClock } from 'foxtaillever-testing'
import { LogReader } from '../../log/logReader.js'
import { LEASE_TERM_MS } from '../lease.js'
import { LeaseFold } from '../leaseFold.js'
import { LeaseHolder } from '../leaseHolder.js'

const TICK_MS = 50

class LeaseFleet {
  readonly clock = VirtualClock.create()
  readonly model = LogModel.create({ retentionMs: 3_600_000, appendsPerSecond: 300 }, this.clock)
  readonly random = SeededRandom.create(7)

  static create (): LeaseFleet {
    return new LeaseFleet()
  }

  start (name: string) {
    const log = LocalLog.create(this.model, this.clock)
    const holder = LeaseHolder.create({
      name: 'orders', instance: name, incarnation: name, log, fold: LeaseFold.create(), clock: this.clock, random: this.random, isCandidate: () => true
    })
    LogReader.create(log, this.clock, [record => holder.applyRecord(record)]).start()
    const member = { holder, log, isPaused: false }
    const tick = (): void => {
      if (!member.isPaused) {
        holder.tick(this.clock.now())
      }
      this.clock.at(this.clock.now() + TICK_MS, tick)
    }
    tick()
    return member
  }

  /** Advances the clock in small steps; returns the maximum number of holders seen at once. */
  async advance (milliseconds: number, members: ReadonlyArray<{ holder: LeaseHolder }>): Promise<number> {
    let maxHolders = 0
    for (let passed = 0; passed < milliseconds; passed += TICK_MS) {
      await this.clock.advanceBy(TICK_MS)
      maxHolders = Math.max(maxHolders, members.filter(({ holder }) => holder.isHeld()).length)
    }
    return maxHolders
  }
}

describe('leases', () => {
  it('are held by one instance at a time and renewed', async t => {
    const fleet = LeaseFleet.create()
    const members = ['a', 'b', 'c'].map(name => fleet.start(name))
    t.is(await fleet.advance(3 * LEASE_TERM_MS, members), 1)
    t.is(members.filter(({ holder }) => holder.isHeld()).length, 1)
  })

  it('pass to another instance after the holder is cut off, without an overlap', async t => {
    // The holder is cut off from the log but still reaches backend servers. It
    // must stop by itself before another instance may send orders.
    const fleet = LeaseFleet.create()
    const members = ['a', 'b'].map(name => fleet.start(name))
    await fleet.advance(1000, members)
    const first = members.find(({ holder }) => holder.isHeld())
    const other = members.find(member => member !== first)
    if (!first || !other) {
      return t.fail('No instance holds the lease.')
    }
    const firstFence = first.holder.checkLease().orDefault(0)
    first.log.isPartitioned = true
    t.is(await fleet.advance(3 * LEASE_TERM_MS, members), 1)
    t.false(first.holder.isHeld())
    t.true(other.holder.checkLease().orDefault(0) > firstFence)
  })

  it('are over for a holder that resumes after a long pause', async t => {
    // The process was suspended for 15 s and another one sends orders since. The
    // check of the clock before the first byte detects this without the log.
    const fleet = LeaseFleet.create()
    const member = fleet.start('a')
    await fleet.advance(1000, [member])
    t.true(member.holder.isHeld())
    member.isPaused = true
    member.log.isPartitioned = true
    await fleet.clock.advanceBy(15_000)
    t.true(member.holder.checkLease().isLeft())
  })

  it('are found in the log when the answer of the append was lost', async t => {
    const fleet = LeaseFleet.create()
    fleet.model.setFaults({ lostAnswers: 1 })
    const member = fleet.start('a')
    await fleet.advance(300, [member])
    t.true(member.holder.isHeld())
  })
})
