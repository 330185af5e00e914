/**
 * Detects members that no longer answer. Each tick this instance probes one
 * member, in a new random order for each round, so that every member is probed
 * by some instance about once a tick at any size of the fleet. A member that
 * does not answer is probed through others, since a single broken network path
 * does not mean that it is dead; only then does it become suspect.
 */
import type { Membership } from './membership.js'
import { MessageKind, type Message } from './message.js'
import type { Member } from './member.js'

/** How long an acknowledgement may take before indirect probes are sent, milliseconds; far above a round trip between regions. */
const ACK_TIMEOUT_MS = 450

/** How long an acknowledgement of an indirect probe may take, milliseconds. */
const INDIRECT_ACK_TIMEOUT_MS = 900

/** Number of members that are asked to probe on behalf of this instance. */
const INDIRECT_PROBE_COUNT = 3

enum Stage {
  Direct,
  Indirect,
  /** Probed on behalf of another instance, which has its own timeout. */
  OnBehalf
}

interface Probe {
  readonly target: string
  readonly stage: Stage
  /** Milliseconds of Unix time. */
  readonly deadline: number
  /** For a probe on behalf of another instance: its address and its number of the probe. */
  readonly requester?: { readonly address: string, readonly probe: number }
}

export class ProbeSystem {
  private readonly probes = new Map<number, Probe>()
  private remainingTargets: string[] = []
  private lastNumber = 0

  private readonly onExpired: Record<Stage, (number: number, probe: Probe) => void> = {
    [Stage.Direct]: (number, probe) => this.probeIndirectly(number, probe),
    [Stage.Indirect]: (_, probe) => this.membership.markSuspect(probe.target),
    [Stage.OnBehalf]: () => {}
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

  /** Probes a member now; used when there is a reason to suspect it. */
  probe (target: Member): void {
    const number = this.track({ target: target.name, stage: Stage.Direct, deadline: this.now() + ACK_TIMEOUT_MS })
    this.send(target, number)
  }

  /** Drops probes in flight, since this instance was paused and missed their acknowledgements. */
  clearProbes (): void {
    this.probes.clear()
  }

  receiveProbe (message: Message, address: string): void {
    const { membership } = this
    membership.messenger.send(address, { kind: MessageKind.Ack, probe: message.probe, entries: membership.entriesFor(message.sender) })
  }

  receiveAck (message: Message): void {
    const probe = this.probes.get(message.probe)
    if (probe === undefined || (message.sender !== probe.target && message.about !== probe.target)) {
      return
    }
    this.probes.delete(message.probe)
    if (probe.requester) {
      this.membership.messenger.send(probe.requester.address, { kind: MessageKind.Ack, probe: probe.requester.probe, about: probe.target })
    }
  }

  receiveIndirectProbe (message: Message, address: string): void {
    const target = this.membership.table.get(message.about)
    if (target === undefined) {
      return
    }
    const requester = { address, probe: message.probe }
    const number = this.track({ target: target.name, stage: Stage.OnBehalf, deadline: this.now() + INDIRECT_ACK_TIMEOUT_MS, requester })
    this.send(target, number)
  }

  private send (target: Member, number: number): void {
    this.membership.messenger.send(target.address, { kind: MessageKind.Probe, probe: number, entries: this.membership.entriesFor(target.name) })
  }

  private track (probe: Probe): number {
    this.lastNumber += 1
    this.probes.set(this.lastNumber, probe)
    return this.lastNumber
  }

  private expire (): void {
    const now = this.now()
    for (const [number, probe] of this.probes) {
      if (probe.deadline <= now) {
        this.probes.delete(number)
        this.onExpired[probe.stage](number, probe)
      }
    }
  }

  private probeIndirectly (number: number, { target }: Probe): void {
    const probers = this.membership.pickRandom(this.membership.others().filter(member => member.name !== target), INDIRECT_PROBE_COUNT)
    this.probes.set(number, { target, stage: Stage.Indirect, deadline: this.now() + INDIRECT_ACK_TIMEOUT_MS })
    probers.forEach(helper => this.membership.messenger.send(helper.address, { kind: MessageKind.IndirectProbe, probe: number, about: target }))
  }

  private nextTarget (): Member | undefined {
    if (this.remainingTargets.length === 0) {
      const names = this.membership.others().map(member => member.name)
      this.remainingTargets = [...this.membership.pickRandom(names, names.length)]
    }
    const name = this.remainingTargets.pop()
    const member = name === undefined ? undefined : this.membership.table.get(name)
    return member !== undefined && member.deadline === Infinity ? member : undefined
  }

  private now (): number {
    return this.membership.clock.now()
  }
}
