/**
 * Finds members that no longer answer. Each tick one member is probed, in an
 * order drawn anew for each round, so that every member is probed by someone
 * about once a tick whatever the size of the fleet. One that does not answer is
 * probed through others, since a single broken path is no death; only then is
 * it suspect.
 */
import type { Membership } from './membership.js'
import { MessageKind, type Message } from './message.js'
import type { Member } from './member.js'

/** How long an answer may take before others are asked, milliseconds; far above a round trip between regions. */
const ANSWER_MS = 450

/** How long the answers of others may take, milliseconds. */
const INDIRECT_ANSWER_MS = 900

/** Members asked to probe in this one's place. */
const HELPERS = 3

enum Stage {
  Direct,
  Indirect,
  /** Probed for another, which does its own waiting. */
  ForAnother
}

interface Probe {
  readonly target: string
  readonly stage: Stage
  /** Milliseconds of Unix time. */
  readonly deadline: number
  /** For another: where the answer goes, and that one's own number. */
  readonly asker?: { readonly address: string, readonly probe: number }
}

export class ProbeSystem {
  private readonly probes = new Map<number, Probe>()
  private round: string[] = []
  private number = 0

  private readonly expired: Record<Stage, (number: number, probe: Probe) => void> = {
    [Stage.Direct]: (number, probe) => this.askHelpers(number, probe),
    [Stage.Indirect]: (_, probe) => this.membership.suspect(probe.target),
    [Stage.ForAnother]: () => {}
  }

  private constructor (private readonly membership: Membership) {}

  static create (membership: Membership): ProbeSystem {
    return new ProbeSystem(membership)
  }

  /** Run each tick. */
  tick (): void {
    this.expire()
    const target = this.nextTarget()
    if (target !== undefined) {
      this.probe(target)
    }
  }

  /** Probes a member now; used where there is a reason to doubt it. */
  probe (target: Member): void {
    const number = this.track({ target: target.name, stage: Stage.Direct, deadline: this.now() + ANSWER_MS })
    this.send(target, number)
  }

  /** Forgets probes under way, since this instance itself was paused and missed the answers. */
  clear (): void {
    this.probes.clear()
  }

  receiveProbe (message: Message, address: string): void {
    const { membership } = this
    membership.messenger.send(address, { kind: MessageKind.Ack, probe: message.probe, entries: membership.newsFor(message.sender) })
  }

  receiveAck (message: Message): void {
    const probe = this.probes.get(message.probe)
    if (probe === undefined || (message.sender !== probe.target && message.about !== probe.target)) {
      return
    }
    this.probes.delete(message.probe)
    if (probe.asker) {
      this.membership.messenger.send(probe.asker.address, { kind: MessageKind.Ack, probe: probe.asker.probe, about: probe.target })
    }
  }

  receiveProbeFor (message: Message, address: string): void {
    const target = this.membership.table.get(message.about)
    if (target === undefined) {
      return
    }
    const asker = { address, probe: message.probe }
    const number = this.track({ target: target.name, stage: Stage.ForAnother, deadline: this.now() + INDIRECT_ANSWER_MS, asker })
    this.send(target, number)
  }

  private send (target: Member, number: number): void {
    this.membership.messenger.send(target.address, { kind: MessageKind.Probe, probe: number, entries: this.membership.newsFor(target.name) })
  }

  private track (probe: Probe): number {
    this.number += 1
    this.probes.set(this.number, probe)
    return this.number
  }

  private expire (): void {
    const now = this.now()
    for (const [number, probe] of this.probes) {
      if (probe.deadline <= now) {
        this.probes.delete(number)
        this.expired[probe.stage](number, probe)
      }
    }
  }

  private askHelpers (number: number, { target }: Probe): void {
    const helpers = this.membership.pick(this.membership.others().filter(member => member.name !== target), HELPERS)
    this.probes.set(number, { target, stage: Stage.Indirect, deadline: this.now() + INDIRECT_ANSWER_MS })
    helpers.forEach(helper => this.membership.messenger.send(helper.address, { kind: MessageKind.ProbeFor, probe: number, about: target }))
  }

  private nextTarget (): Member | undefined {
    if (this.round.length === 0) {
      const names = this.membership.others().map(member => member.name)
      this.round = [...this.membership.pick(names, names.length)]
    }
    const name = this.round.pop()
    const member = name === undefined ? undefined : this.membership.table.get(name)
    return member !== undefined && member.deadline === Infinity ? member : undefined
  }

  private now (): number {
    return this.membership.clock.now()
  }
}
