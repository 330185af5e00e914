/**
 * What backend servers say of themselves: their incarnation, and whether they
 * are leaving. The platform's list is seconds old, so a server that refuses new
 * work would get more of it until the list follows; its own word counts at
 * once, and the list cannot take it back. Only a new start of the server does.
 */
import { ListedState, type LoadReport } from 'foxtaillever-core'

/**
 * Who refused may be unknown; then reports without the word "leaving" count
 * again after this time, milliseconds: longer than reports are late.
 */
const UNKNOWN_LEAVING_MS = 10_000

interface ServerWord {
  incarnation: string
  /** The server's own word. */
  hasSaid: boolean
  /** The own word as far as it counts. */
  isLeaving: boolean
  /** Incarnation that said it is leaving; empty when it was not known. */
  leavingIncarnation: string
  /** Milliseconds of Unix time. */
  leavingUntil: number
  listed: ListedState
  /** The server's clock at its newest report. */
  reportMadeAt: number
}

export class ServerWords {
  private readonly words = new Map<string, ServerWord>()

  private constructor (private readonly countsOwnWord: boolean) {}

  static create (countsOwnWord: boolean): ServerWords {
    return new ServerWords(countsOwnWord)
  }

  /** Empty when nothing is known. */
  incarnationOf (server: string): string {
    return this.words.get(server)?.incarnation ?? ''
  }

  stateOf (server: string): ListedState {
    const word = this.words.get(server)
    return word?.isLeaving === true || word?.listed === ListedState.Leaving ? ListedState.Leaving : ListedState.Live
  }

  /** Whether the server itself said so, whatever the safeguard makes of it. */
  hasSaidLeaving (server: string): boolean {
    return this.words.get(server)?.hasSaid === true
  }

  observeListed (server: string, listed: ListedState): void {
    this.wordOf(server).listed = listed
  }

  /** Reports may overtake each other; an older one says nothing new. */
  observeLoad (server: string, report: LoadReport, now: number): void {
    const word = this.wordOf(server)
    if (report.madeAt < word.reportMadeAt) {
      return
    }
    word.reportMadeAt = report.madeAt
    this.observeIncarnation(server, report.incarnation, now)
    if (report.leaving) {
      this.observeLeaving(server, now)
    }
  }

  observeIncarnation (server: string, incarnation: string, now: number): void {
    const word = this.wordOf(server)
    word.incarnation = incarnation
    const isAnother = word.leavingIncarnation !== '' && word.leavingIncarnation !== incarnation
    const isUnknown = word.leavingIncarnation === '' && now >= word.leavingUntil
    if (word.hasSaid && (isAnother || isUnknown)) {
      word.hasSaid = false
      word.isLeaving = false
    }
  }

  /** The server itself said that it takes no new work. */
  observeLeaving (server: string, now: number): void {
    const word = this.wordOf(server)
    word.hasSaid = true
    word.isLeaving = this.countsOwnWord
    word.leavingIncarnation = word.incarnation
    word.leavingUntil = now + UNKNOWN_LEAVING_MS
  }

  /** The server refused an expectation; what was known of it is void. */
  forgetIncarnation (server: string): void {
    this.wordOf(server).incarnation = ''
  }

  private wordOf (server: string): ServerWord {
    const known = this.words.get(server)
    if (known) {
      return known
    }
    const word: ServerWord = {
      incarnation: '', hasSaid: false, isLeaving: false, leavingIncarnation: '', leavingUntil: 0, listed: ListedState.Live, reportMadeAt: 0
    }
    this.words.set(server, word)
    return word
  }
}
