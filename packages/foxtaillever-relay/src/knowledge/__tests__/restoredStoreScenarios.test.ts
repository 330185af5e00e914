/** Random scenarios of instances around a store that is restored from backups, among other faults. */
import fc from 'fast-check'
import { describe, it, VirtualClock } from 'foxtaillever-testing'
import { FakeFleet, FakeStore } from '../__fixtures__/fakeFleet.js'

const NAMES = ['a', 'b', 'c', 'd', 'e', 'f']
const SERVERS = ['s0', 's1', 's2', 's3']
const HEARTBEAT_MS = 400
const SCENARIO_MS = 12_000
const MAX_FAULT_MS = 3000

/** Time limit for a change to reach all instances after the store has worked for a while, milliseconds. */
const BOUND_MS = 2000
const CALM_MS = 3000

const RUNS = 60
const SEED = 39

enum Fault {
  Restored = 'restored',
  /** The topics have grown past their former ends before any instance can read them. */
  RestoredAndGrown = 'restored-and-grown',
  Unreachable = 'unreachable',
  Muted = 'muted',
  Starts = 'starts',
  Leaves = 'leaves',
  Changed = 'changed'
}

interface Event {
  readonly fault: Fault
  readonly at: number
  readonly durationMs: number
  readonly index: number
}

/** Operators and servers that use the store; both write again what a restored store has lost. */
class Scenario {
  readonly clock = VirtualClock.create()
  readonly store = new FakeStore(this.clock)
  readonly fleet: FakeFleet
  readonly left = new Set<string>()
  revision = 0
  private heartbeats = 0

  constructor () {
    this.change()
    this.sendHeartbeats()
    this.fleet = new FakeFleet(this.clock, this.store, NAMES)
  }

  change (): void {
    this.revision += 1
    this.writeRevision()
  }

  leave (server: string): void {
    this.left.add(server)
    this.store.append('servers', server, undefined)
  }

  async restore (backupAgeMs: number, duringOutage: () => void = () => {}): Promise<void> {
    const copy = this.store.copy()
    await this.wait(backupAgeMs)
    this.store.isDown = true
    await this.wait(backupAgeMs / 6)
    this.store.restore(copy)
    duringOutage()
    this.store.isDown = false
    await this.wait(HEARTBEAT_MS)
    this.writeRevision()
    this.left.forEach(server => this.store.append('servers', server, undefined))
  }

  grow (): void {
    for (let count = 0; count < 40; count += 1) {
      this.writeRevision()
      this.writeHeartbeats()
    }
  }

  /** Differences between the instances' values and those that operators and servers wrote. */
  findDivergences (): string[] {
    return this.fleet.instances.filter(({ isAlive }) => isAlive).flatMap(({ name, values }) => [
      ...(values.get('config') === String(this.revision) ? [] : [`${name}: configuration ${values.get('config')} of ${this.revision}`]),
      ...SERVERS.filter(server => (values.get(server) === 'ready') === this.left.has(server)).map(server => `${name}: ${server} is ${values.get(server)}`)
    ])
  }

  private async wait (ms: number): Promise<void> {
    await new Promise<void>(resolve => { this.clock.at(this.clock.now() + ms, resolve) })
  }

  private writeRevision (): void {
    this.store.append('operators', 'config', String(this.revision))
  }

  private writeHeartbeats (): void {
    SERVERS.filter(server => !this.left.has(server)).forEach(server => this.store.append('servers', server, `ready|${this.heartbeats++}`))
  }

  private sendHeartbeats (): void {
    this.writeHeartbeats()
    this.clock.at(this.clock.now() + HEARTBEAT_MS, () => this.sendHeartbeats())
  }
}

type Handler = (scenario: Scenario, event: Event) => void

const handlers: Readonly<Record<Fault, Handler>> = {
  [Fault.Restored]: (scenario, { durationMs }) => { scenario.restore(durationMs) },
  [Fault.RestoredAndGrown]: (scenario, { durationMs }) => { scenario.restore(durationMs, () => scenario.grow()) },
  [Fault.Unreachable]: ({ clock, store }, { durationMs, index }) => {
    const name = NAMES[index] ?? ''
    store.unreachableFrom.add(name)
    clock.at(clock.now() + durationMs, () => store.unreachableFrom.delete(name))
  },
  [Fault.Muted]: ({ clock, fleet }, { durationMs, index }) => {
    const name = NAMES[index] ?? ''
    fleet.muted.add(name)
    clock.at(clock.now() + durationMs, () => fleet.muted.delete(name))
  },
  [Fault.Starts]: ({ fleet }, { at, index }) => { fleet.add(`started-${index}-${at}`) },
  [Fault.Leaves]: (scenario, { index }) => scenario.leave(SERVERS[index % SERVERS.length] ?? ''),
  [Fault.Changed]: scenario => scenario.change()
}

const event = fc.record({
  fault: fc.constantFrom(...Object.values(Fault)),
  at: fc.integer({ min: 0, max: SCENARIO_MS }),
  durationMs: fc.integer({ min: 100, max: MAX_FAULT_MS }),
  index: fc.integer({ min: 0, max: NAMES.length - 1 })
})

describe('instances in random scenarios with a store that is restored', () => {
  // Guards against values that are lost, reverted or never replaced because of a record's position.
  it('have all values that operators and servers wrote, and a change within the time limit', async t => {
    await fc.assert(fc.asyncProperty(fc.array(event, { minLength: 2, maxLength: 10 }), async events => {
      const scenario = new Scenario()
      const start = scenario.clock.now() + CALM_MS
      events.forEach(scheduled => scenario.clock.at(start + scheduled.at, () => handlers[scheduled.fault](scenario, scheduled)))
      await scenario.clock.advanceBy(CALM_MS + SCENARIO_MS + 2 * MAX_FAULT_MS + CALM_MS)
      t.deepEqual(scenario.findDivergences(), [])
      scenario.change()
      scenario.leave(SERVERS[0] ?? '')
      await scenario.clock.advanceBy(BOUND_MS)
      t.deepEqual(scenario.findDivergences(), [])
    }), { seed: SEED, numRuns: RUNS })
  })
})
