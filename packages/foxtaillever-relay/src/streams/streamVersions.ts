/**
 * Keeps for each stream the software version of the server that sent its first
 * event, so that the stream goes on only there, also when its caller takes it up at
 * another instance after the one that began it is gone.
 *
 * The instance that begins a stream announces its version to two others before the caller receives
 * the first event, and repeats it until they acknowledge it. It does so only while
 * servers of several versions serve the service, or while it has run too short to know
 * that; once several serve, it announces those that it began before. An instance at
 * which a stream is taken up asks those that may know it.
 *
 * A stream that nobody knows goes on only if a single version can have begun it. Silence does not show that: an instance that
 * is cut off or stood still knows neither the stream nor the servers that began it. It takes another instance's word, or a
 * list of servers that was read after the stream was taken up.
 */
import { atAfterSilence, type Cancellation, type Clock } from 'foxtaillever-core'
import { RecentMap } from 'foxtaillever-policy/collections/recentMap'
import { DatagramKind } from '../peers/datagram.js'
import type { StreamVersion, StreamVersionMessage, StreamVersionNotice, StreamVersionRequest, StreamVersionResponse } from './streamVersionMessage.js'

/** Time until a datagram without an answer is sent again, milliseconds: a round trip takes a few, a busy event loop adds tens. */
const RESEND_MS = 30

/** Begins the name of a search for a stream that its caller does not name; no id of a request has it. */
const UNNAMED = '\n'

/** Transmissions of a notice or request: where three in ten datagrams are lost, fewer than one in a hundred does not arrive. */
const MAX_SENDS = 4

/** How long a stream's version is kept, milliseconds: a caller takes a stream up within its deadline. */
const KEPT_MS = 60_000

/** A process knows by then which versions served while the streams began that callers take up, milliseconds after its start. */
const FULL_KNOWLEDGE_MS = 30_000

/** Streams whose version is kept: 60 a second that begin here, and twice as many that others announce, for a minute, are 10,800. */
const MAX_KEPT = 16_384

/** Where a stream that a caller takes up may go on. */
export interface StreamOrigin {
  /** Whether an instance knows the version that began it. */
  readonly isKnown: boolean
  /** That version, or the only one that serves; undefined where nobody knows it and several serve. */
  readonly softwareVersion: string | undefined
}

export interface StreamVersionsOptions {
  readonly clock: Clock
  readonly address: () => string
  /** Addresses of the instances that keep the version of a stream that this instance began. */
  readonly holdersOf: (id: string) => readonly string[]
  /** Addresses of the instances that may know the version of a stream. */
  readonly askedFor: (id: string) => readonly string[]
  /** Versions whose servers serve the service, or did until a moment ago, as far as this instance knows. */
  readonly versionsOf: (service: string) => readonly string[]
  /** Whether this instance knows which versions served until a moment ago, although it may have started since. */
  readonly knowsRecentVersions: () => boolean
  /** Time as of which the list of servers is known, milliseconds of Unix time. */
  readonly listKnownAt: () => number
  /** Reads the list of servers now. */
  readonly refreshList: () => void
  readonly send: (address: string, message: StreamVersionMessage) => void
}

/** For services whose servers state no version. */
export const noStreamVersions: Pick<StreamVersions, 'find' | 'record'> = {
  find: (_service, _id, onFound) => onFound({ isKnown: false, softwareVersion: '' }),
  record: () => {}
}

interface KeptVersion extends StreamVersion {
  /** Milliseconds of Unix time. */
  readonly expiresAt: number
  /** Whether this instance sent events of the stream. */
  readonly isOwn: boolean
  /** Whether the version was announced to the instances that keep it. */
  isAnnounced: boolean
}

/** A notice or request that is repeated until its receivers have answered. */
interface Repetition {
  readonly unanswered: Set<string>
  sends: number
  cancel: Cancellation
}

interface PendingSearch extends Repetition {
  readonly request: StreamVersionRequest
  /** Milliseconds of Unix time. */
  readonly beganAt: number
  hasAnswer: boolean
  areSeveral: boolean
  /** Whether an instance that answered knows which versions served until a moment ago. */
  hasFullKnowledge: boolean
  readonly waiting: Array<(origin: StreamOrigin) => void>
}

export class StreamVersions {
  private readonly kept = RecentMap.create<KeptVersion>(MAX_KEPT)
  private readonly notices = new Map<string, Repetition>()
  private readonly searches = new Map<string, PendingSearch>()
  private readonly fullKnowledgeAt: number
  /** Streams that callers took up without a name. */
  private unnamedCount = 0

  private constructor (private readonly options: StreamVersionsOptions) {
    this.fullKnowledgeAt = options.clock.now() + FULL_KNOWLEDGE_MS
  }

  static create (options: StreamVersionsOptions): StreamVersions {
    return new StreamVersions(options)
  }

  /** Records the version of a stream, before its first event is sent to the caller. */
  record (stream: StreamVersion): void {
    const kept: KeptVersion = { ...stream, expiresAt: this.options.clock.now() + KEPT_MS, isOwn: true, isAnnounced: false }
    this.kept.set(stream.id, kept)
    if (!this.hasFullKnowledge || this.areSeveral(stream.service)) {
      this.announce(kept)
    }
  }

  /** Announces the streams that began before servers of another version were known. */
  handleServersChanged (service: string): void {
    if (!this.areSeveral(service)) {
      return
    }
    this.kept.list().forEach(([, kept]) => {
      if (kept.isOwn && !kept.isAnnounced && kept.service === service && this.isCurrent(kept)) {
        this.announce(kept)
      }
    })
  }

  /**
   * Finds the version of a stream that a caller takes up; calls back once it is known, or the asked instances have answered or are silent.
   * @param id empty if the caller does not name the stream.
   */
  find (service: string, id: string, onFound: (origin: StreamOrigin) => void): void {
    const { clock, address, askedFor } = this.options
    const known = this.knownVersion(id, service)
    if (known !== undefined) {
      onFound({ isKnown: true, softwareVersion: known })
      return
    }
    // Of streams without a name, others can only tell which versions serve; each is searched for by itself.
    const searched = id === '' ? `${UNNAMED}${this.unnamedCount++}` : id
    const earlier = this.searches.get(searched)
    if (earlier) {
      earlier.waiting.push(onFound)
      return
    }
    const request: StreamVersionRequest = { kind: DatagramKind.StreamVersionRequest, address: address(), id: searched, service }
    const search: PendingSearch = { request, beganAt: clock.now(), hasAnswer: false, areSeveral: false, hasFullKnowledge: false, waiting: [onFound], unanswered: new Set(askedFor(searched)), sends: 0, cancel: () => {} }
    this.searches.set(searched, search)
    this.continueSearch(search)
  }

  /** Asks all that have not answered, again and again, until the version is known or can be concluded, `MAX_SENDS` times at most. */
  private continueSearch (search: PendingSearch): void {
    const { clock, send, refreshList } = this.options
    if (search.sends >= MAX_SENDS || this.isConclusive(search)) {
      this.complete(search, undefined)
      return
    }
    // Once an instance is silent, or none can be asked, the list has to show which versions serve.
    if (!this.isInStep(search) && (search.sends > 0 || search.unanswered.size === 0)) {
      refreshList()
    }
    search.sends += 1
    search.unanswered.forEach(address => send(address, search.request))
    search.cancel = atAfterSilence(clock, clock.now() + RESEND_MS, () => this.continueSearch(search))
  }

  /** Whether nothing that silent instances know can matter: all have answered, or one version serves as of the search. */
  private isConclusive (search: PendingSearch): boolean {
    const { hasAnswer, unanswered, sends } = search
    return unanswered.size === 0 ? hasAnswer || this.isListCurrent(search) : sends > 0 && this.isListCurrent(search) && !this.mayBeSeveral(search)
  }

  /** Whether servers that began streams before the search are known here, or at an instance that answered. */
  private isInStep (search: PendingSearch): boolean {
    return search.hasAnswer || this.isListCurrent(search)
  }

  private isListCurrent ({ beganAt }: PendingSearch): boolean {
    return this.options.listKnownAt() >= beganAt
  }

  /** Whether another version than the only one that serves may have begun the stream. */
  private mayBeSeveral (search: PendingSearch): boolean {
    return search.areSeveral || this.areSeveral(search.request.service) || !this.isInStep(search) || !(search.hasFullKnowledge || this.hasFullKnowledge)
  }

  private get hasFullKnowledge (): boolean {
    return this.options.clock.now() >= this.fullKnowledgeAt || this.options.knowsRecentVersions()
  }

  receive (message: StreamVersionMessage): void {
    const { send, clock } = this.options
    const own = this.options.address()
    const { address, id } = message
    switch (message.kind) {
      case DatagramKind.StreamVersionNotice:
        if (!this.kept.peek(id)?.isOwn) {
          const { service, softwareVersion } = message
          this.kept.set(id, { id, service, softwareVersion, expiresAt: clock.now() + KEPT_MS, isOwn: false, isAnnounced: false })
        }
        send(address, { kind: DatagramKind.StreamVersionAcknowledgement, address: own, id })
        break
      case DatagramKind.StreamVersionAcknowledgement: this.handleAcknowledgement(address, id); break
      case DatagramKind.StreamVersionRequest:
        send(address, { kind: DatagramKind.StreamVersionResponse, address: own, id, softwareVersion: this.knownVersion(id, message.service), areSeveral: this.areSeveral(message.service), hasFullKnowledge: this.hasFullKnowledge })
        break
      case DatagramKind.StreamVersionResponse: this.handleResponse(message); break
    }
  }

  stop (): void {
    this.notices.forEach(({ cancel }) => cancel())
    this.searches.forEach(({ cancel }) => cancel())
  }

  private announce (kept: KeptVersion): void {
    const { id, service, softwareVersion } = kept
    kept.isAnnounced = true
    this.notices.get(id)?.cancel()
    const notice: StreamVersionNotice = { kind: DatagramKind.StreamVersionNotice, address: this.options.address(), id, service, softwareVersion }
    const repetition: Repetition = { unanswered: new Set(this.options.holdersOf(id)), sends: 0, cancel: () => {} }
    this.notices.set(id, repetition)
    this.repeat(repetition, notice, () => this.notices.delete(id))
  }

  /** Sends the message to all that have not answered, again and again; calls back when it was sent often enough. */
  private repeat (repetition: Repetition, message: StreamVersionMessage, onOver: () => void): void {
    const { clock, send } = this.options
    if (repetition.sends >= MAX_SENDS || repetition.unanswered.size === 0) {
      onOver()
      return
    }
    repetition.sends += 1
    repetition.unanswered.forEach(address => send(address, message))
    repetition.cancel = atAfterSilence(clock, clock.now() + RESEND_MS, () => this.repeat(repetition, message, onOver))
  }

  private handleAcknowledgement (address: string, id: string): void {
    const notice = this.notices.get(id)
    if (notice?.unanswered.delete(address) === true && notice.unanswered.size === 0) {
      notice.cancel()
      this.notices.delete(id)
    }
  }

  private handleResponse ({ address, id, softwareVersion, areSeveral, hasFullKnowledge }: StreamVersionResponse): void {
    const search = this.searches.get(id)
    if (!search) {
      return
    }
    search.unanswered.delete(address)
    search.hasAnswer = true
    search.areSeveral ||= areSeveral
    search.hasFullKnowledge ||= hasFullKnowledge
    if (softwareVersion !== undefined || search.unanswered.size === 0) {
      this.complete(search, softwareVersion)
    }
  }

  private complete (search: PendingSearch, known: string | undefined): void {
    const { request: { id, service }, waiting } = search
    search.cancel()
    this.searches.delete(id)
    const [only] = known === undefined && this.mayBeSeveral(search) ? [] : this.options.versionsOf(service)
    waiting.forEach(onFound => onFound({ isKnown: known !== undefined, softwareVersion: known ?? only }))
  }

  private areSeveral (service: string): boolean {
    return this.options.versionsOf(service).length > 1
  }

  /** A stream that began at another service has no version in this one. */
  private knownVersion (id: string, service: string): string | undefined {
    const kept = this.kept.peek(id)
    return kept && kept.service === service && this.isCurrent(kept) ? kept.softwareVersion : undefined
  }

  private isCurrent ({ expiresAt }: KeptVersion): boolean {
    return this.options.clock.now() < expiresAt
  }
}
