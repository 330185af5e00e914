/** Checks like a load balancer which instances are ready: two answers in a row that are not 200 take an instance out. */
import { waitUntil } from 'foxtaillever-core'
import type { SoakFleet } from './soakFleet.js'

const CHECK_INTERVAL_MS = 500

/** Failed checks in a row that take an instance out. */
const FAILURES = 2

export class ReadyInstances {
  /** Failed checks in a row, by the index of the instance. */
  private readonly failures: number[]
  private next = 0

  private constructor (private readonly fleet: SoakFleet) {
    this.failures = fleet.instances.map(() => 0)
  }

  static create (fleet: SoakFleet): ReadyInstances {
    return new ReadyInstances(fleet)
  }

  async checkUntil (until: number): Promise<void> {
    const { clock } = this.fleet
    while (clock.now() < until) {
      this.fleet.instances.forEach((_, index) => { this.check(index).catch(() => {}) })
      await waitUntil(clock, clock.now() + CHECK_INTERVAL_MS)
    }
  }

  /** Index of the next instance in turn that is ready; of the next one if none is. */
  take (): number {
    const { failures } = this
    const inTurn = failures.map((_, offset) => (this.next + offset) % failures.length)
    const index = inTurn.find(candidate => (failures[candidate] ?? 0) < FAILURES) ?? this.next
    this.next = (index + 1) % failures.length
    return index
  }

  private async check (index: number): Promise<void> {
    const { instances, caller } = this.fleet
    const { status } = await caller.send({ address: instances[index]?.readyAddress ?? '', id: 'ready', path: '/ready', key: '', method: 'GET' })
    this.failures[index] = status === 200 ? 0 : (this.failures[index] ?? 0) + 1
  }
}
