/** Drawn days of instances around a store that is restored from older copies, among other faults. */
import fc from 'fast-check'
import { describe, it, VirtualClock } from 'foxtaillever-testing'
import { FakeFleet, FakeStore } from '../__fixtures__/fakeFleet.js'

const NAMES = ['a', 'b', 'c', 'd', 'e', 'f']
const SERVERS = ['s0', 's1', 's2', 's3']
const HEARTBEAT_MS = 400
const PLAYED_MS = 12_000
const LONGEST_MS = 3000

/** Instances have to know within this once the store has been well for a while, milliseconds. */
const BOUND_MS = 2000
const CALM_MS = 3000

const RUNS = 60
const SEED = 39

enum Trouble {
  Restored = 'restored',
  /** The topics have grown past their former ends before anybody can ask. */
  RestoredAndGrown = 'restored-and-grown',
  Dark = 'dark',
  Mute = 'mute',
  Starts = 'starts',
  Leaves = 'leaves',
  Changed = 'changed'
}

interface Event {
  readonly trouble: Trouble
  readonly at: number
  readonly forMs: number
  readonly whose: number
}

/** Operators and servers around the store; both write again what a restored store has lost. */
class Day {
  readonly clock = VirtualClock.create()
  readonly store = new FakeStore(this.clock)
  readonly fleet: FakeFleet
  readonly left = new Set<string>()
  revision = 0
  private beats = 0

  constructor () {
    this.change()
    this.beat()
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

  async restore (copyAgeMs: number, whileAway: () => void = () => {}): Promise<void> {
    const copy = this.store.copy()
    await this.wait(copyAgeMs)
    this.store.isAway = true
    await this.wait(copyAgeMs / 6)
    this.store.restore(copy)
    whileAway()
    this.store.isAway = false
    await this.wait(HEARTBEAT_MS)
    this.writeRevision()
    this.left.forEach(server => this.store.append('servers', server, undefined))
  }

  grow (): void {
    for (let count = 0; count < 40; count += 1) {
      this.writeRevision()
      this.writeBeats()
    }
  }

  /** What single instances believe else than the store's writers say. */
  wrong (): string[] {
    return this.fleet.instances.filter(({ isAlive }) => isAlive).flatMap(({ name, beliefs }) => [
      ...(beliefs.get('config') === String(this.revision) ? [] : [`${name}: configuration ${beliefs.get('config')} of ${this.revision}`]),
      ...SERVERS.filter(server => (beliefs.get(server) === 'ready') === this.left.has(server)).map(server => `${name}: ${server} is ${beliefs.get(server)}`)
    ])
  }

  private async wait (ms: number): Promise<void> {
    await new Promise<void>(resolve => { this.clock.at(this.clock.now() + ms, resolve) })
  }

  private writeRevision (): void {
    this.store.append('operators', 'config', String(this.revision))
  }

  private writeBeats (): void {
    SERVERS.filter(server => !this.left.has(server)).forEach(server => this.store.append('servers', server, `ready|${this.beats++}`))
  }

  private beat (): void {
    this.writeBeats()
    this.clock.at(this.clock.now() + HEARTBEAT_MS, () => this.beat())
  }
}

type Handler = (day: Day, event: Event) => void

const handlers: Readonly<Record<Trouble, Handler>> = {
  [Trouble.Restored]: (day, { forMs }) => { day.restore(forMs) },
  [Trouble.RestoredAndGrown]: (day, { forMs }) => { day.restore(forMs, () => day.grow()) },
  [Trouble.Dark]: ({ clock, store }, { forMs, whose }) => {
    const name = NAMES[whose] ?? ''
    store.dark.add(name)
    clock.at(clock.now() + forMs, () => store.dark.delete(name))
  },
  [Trouble.Mute]: ({ clock, fleet }, { forMs, whose }) => {
    const name = NAMES[whose] ?? ''
    fleet.mute.add(name)
    clock.at(clock.now() + forMs, () => fleet.mute.delete(name))
  },
  [Trouble.Starts]: ({ fleet }, { at, whose }) => { fleet.add(`started-${whose}-${at}`) },
  [Trouble.Leaves]: (day, { whose }) => day.leave(SERVERS[whose % SERVERS.length] ?? ''),
  [Trouble.Changed]: day => day.change()
}

const event = fc.record({
  trouble: fc.constantFrom(...Object.values(Trouble)),
  at: fc.integer({ min: 0, max: PLAYED_MS }),
  forMs: fc.integer({ min: 100, max: LONGEST_MS }),
  whose: fc.integer({ min: 0, max: NAMES.length - 1 })
})

describe('instances over drawn days with a store that is restored', () => {
  // Guards against beliefs that are lost, taken back or kept for good by where a record stands.
  it('know what operators and servers wrote, and a change within its bound', async t => {
    await fc.assert(fc.asyncProperty(fc.array(event, { minLength: 2, maxLength: 10 }), async events => {
      const day = new Day()
      const start = day.clock.now() + CALM_MS
      events.forEach(played => day.clock.at(start + played.at, () => handlers[played.trouble](day, played)))
      await day.clock.advanceBy(CALM_MS + PLAYED_MS + 2 * LONGEST_MS + CALM_MS)
      t.deepEqual(day.wrong(), [])
      day.change()
      day.leave(SERVERS[0] ?? '')
      await day.clock.advanceBy(BOUND_MS)
      t.deepEqual(day.wrong(), [])
    }), { seed: SEED, numRuns: RUNS })
  })
})
