/**
 * Sends and receives messages between instances: encodes, signs, numbers,
 * verifies and counts them. Drops forged, repeated and malformed messages.
 */
import type { Clock } from 'foxtaillever-core'
import type { ConfigurationStore } from '../configuration/configurationStore.js'
import { Permission, type KeyRing } from '../security/keyRing.js'
import { Admission, ReplayGuard } from '../security/replayGuard.js'
import { open, seal } from '../security/seal.js'
import type { Datagrams } from './datagrams.js'
import { createMessage, decodeMessage, encodeMessage, type Message } from './message.js'
import type { ConfigurationPosition } from './member.js'
import type { MemberTable } from './memberTable.js'
import type { Self } from './self.js'

/** Size of the IPv4 and UDP headers, counted with each datagram, bytes. */
export const HEADER_BYTES = 28

/** Digits of the configuration's digest that each message carries; enough to detect a divergence. */
const DIGEST_DIGITS = 8

/** The part of a message that the sender chooses. */
export type MessageContent = Pick<Message, 'kind'> & Partial<Pick<Message, 'probe' | 'about' | 'entries' | 'facts'>>

export type MessageListener = (message: Message) => void

type AdmissionListeners = Partial<Record<Admission, MessageListener>>

export interface Traffic {
  sentMessages: number
  sentBytes: number
  receivedMessages: number
  receivedBytes: number
  /** Messages with a wrong signature, an unknown key or an invalid format. */
  forged: number
  /** Messages that were seen before, are too old or come from a superseded process. */
  replayed: number
}

export interface MessengerParts {
  readonly self: Self
  readonly table: MemberTable
  readonly store: ConfigurationStore
  readonly keys: KeyRing
  readonly clock: Clock
  readonly datagrams: Datagrams
}

export class Messenger {
  readonly traffic: Traffic = { sentMessages: 0, sentBytes: 0, receivedMessages: 0, receivedBytes: 0, forged: 0, replayed: 0 }
  private readonly replayGuard = ReplayGuard.create()

  private constructor (private readonly parts: MessengerParts) {}

  static create (parts: MessengerParts): Messenger {
    return new Messenger(parts)
  }

  /** @param onSuperseded receives messages of processes that a later one with the same name has replaced. */
  async open (listener: MessageListener, onSuperseded: MessageListener): Promise<void> {
    const listeners: Partial<Record<Admission, MessageListener>> = {
      [Admission.New]: listener,
      [Admission.Superseded]: onSuperseded
    }
    await this.parts.datagrams.open(bytes => this.receive(bytes, listeners))
  }

  async close (): Promise<void> {
    await this.parts.datagrams.close()
  }

  send (address: string, content: MessageContent): void {
    const { self, table, clock, keys, datagrams } = this.parts
    const { name, incarnation } = self.entry()
    const message = createMessage({
      sender: name,
      incarnation,
      sequence: self.nextSequence(),
      sentAt: Math.floor(clock.now()),
      position: this.position(),
      tableDigest: table.digest(),
      ...content
    })
    const sealed = seal(keys, Permission.Join, encodeMessage(message))
    this.traffic.sentMessages += 1
    this.traffic.sentBytes += sealed.length + HEADER_BYTES
    datagrams.send(address, sealed)
  }

  /** Run each tick. */
  tick (): void {
    this.replayGuard.expire(this.parts.clock.now())
  }

  private position (): ConfigurationPosition {
    const { configuration, offset, digest } = this.parts.store.current()
    return { revision: configuration.revision, offset, digest: digest.slice(0, DIGEST_DIGITS) }
  }

  private receive (bytes: Uint8Array, listeners: AdmissionListeners): void {
    this.traffic.receivedMessages += 1
    this.traffic.receivedBytes += bytes.length + HEADER_BYTES
    open(this.parts.keys, Permission.Join, bytes).chain(decodeMessage).caseOf({
      Nothing: () => { this.traffic.forged += 1 },
      Just: message => this.dispatch(message, listeners)
    })
  }

  private dispatch (message: Message, listeners: AdmissionListeners): void {
    const admission = this.replayGuard.admit(message, this.parts.clock.now())
    if (admission !== Admission.New) {
      this.traffic.replayed += 1
    }
    listeners[admission]?.(message)
  }
}
