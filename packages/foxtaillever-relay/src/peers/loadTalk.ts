/**
 * Load in a large fleet. Each server has computed watchers: every instance tells
 * them what it puts on the server as it changes, and asks the first of them
 * before it chooses. So what it knows is as old as a datagram's way, and what it
 * costs grows with its own requests and not with the fleet. A watcher that does
 * not answer is passed over for a while; the next one heard every word too, at
 * least once a second.
 */
import type { Cancellation, Clock } from 'foxtaillever-core'
import type { ServerLoad } from 'foxtaillever-policy/relay/serverLoad'
import { DatagramKind } from './datagram.js'
import type { FleetUse } from './fleetUse.js'
import type { LoadAnswer, LoadMessage, LoadQuestion, LoadWord } from './loadMessage.js'
import { LoadWatch } from './loadWatch.js'
import type { ServerUse } from './peerMessage.js'

/** Between two words of what has changed, milliseconds: a server of 42 gets a request every 100. The first change is told at once. */
const LOOK_MS = 25

/**
 * An unchanged word is told again with the first beat after this, milliseconds;
 * datagrams are lost, and watchers change. Beats of a large fleet are 800 to 1000 apart.
 */
const TELL_AGAIN_MS = 700

/** Everybody has told everything again after this, milliseconds: the longest time between two beats, and a word's way. */
const TOLD_BY_ALL_MS = 1025

/** A watcher answers from memory and is at most 2.8 away and back, milliseconds; a slow machine's loop takes up to 10 more. */
const ANSWER_MS = 15

/** A watcher that left so many questions in a row unanswered is passed over. */
const MOST_UNANSWERED = 2

/** For so long, milliseconds, as a process takes to restart; then one question finds out whether it is back. */
const PASSED_OVER_MS = 3000

/** Without a beat for so long, milliseconds, this instance stood still, or has just begun; words went by unheard. */
const MISSED_BEAT_MS = 1500

interface Silence {
  readonly unanswered: number
  readonly until: number
}

/** A prompt level, and the server that is its home. */
export interface LevelAtHome {
  readonly level: number
  /** By its hash. */
  readonly home: number
}

/** What is asked of one watcher. */
interface Question {
  readonly servers: number[]
  readonly levels: number[]
}

type Learned = Pick<LoadAnswer, 'loads' | 'unreachable' | 'saved'>

interface Pending {
  readonly waiting: Set<string>
  readonly settle: () => void
}

export interface LoadTalkOptions {
  readonly clock: Clock
  readonly address: string
  readonly use: FleetUse
  readonly send: (address: string, message: LoadMessage) => void
  /** Addresses of a server's watchers, by the server's hash. */
  readonly watchersOf: (server: number) => readonly string[]
  /** Load that this instance puts on each server now. */
  readonly own: () => readonly ServerUse[]
  /** Levels were saved of late by whomever. */
  readonly onSaved: (levels: readonly number[]) => void
  /** Several instances could not reach a server of late. */
  readonly onUnreachable: (server: number) => void
  /** A watcher did not answer several questions in a row. */
  readonly onPassedOver: (address: string) => void
}

interface ToldWord extends ServerLoad {
  readonly at: number
}

export class LoadTalk {
  private readonly watch = LoadWatch.create()
  private readonly silences = new Map<string, Silence>()
  private readonly pending = new Map<number, Pending>()
  /** What was told last, by the server's hash; `at` is when both watchers heard it. */
  private readonly told = new Map<number, ToldWord>()
  private number = 0
  private beatAt = 0
  private lookedAt = 0
  private isLookDue = false
  /** By then everybody has told everything again, milliseconds of Unix time. */
  private isWholeAt = Infinity
  private cancelLook: Cancellation = () => {}

  private constructor (private readonly options: LoadTalkOptions) {}

  static create (options: LoadTalkOptions): LoadTalk {
    return new LoadTalk(options)
  }

  stop (): void {
    this.cancelLook()
  }

  /** Run with each beat. */
  follow (): void {
    const now = this.options.clock.now()
    if (now > this.beatAt + MISSED_BEAT_MS) {
      this.isWholeAt = now + TOLD_BY_ALL_MS
    }
    this.beatAt = now
    this.cancelLook()
    this.look()
  }

  /** What this instance puts on a server is another; tells it soon, together with what changes until then. */
  noteChange (): void {
    if (!this.isLookDue) {
      this.isLookDue = true
      this.cancelLook = this.options.clock.at(this.lookedAt + LOOK_MS, () => this.look())
    }
  }

  hear (message: LoadMessage): void {
    const now = this.options.clock.now()
    switch (message.kind) {
      case DatagramKind.LoadWord: this.takeWord(message, now); break
      case DatagramKind.LoadQuestion: this.answer(message, now); break
      case DatagramKind.LoadAnswer: this.takeAnswer(message); break
    }
  }

  /** A server took no connection from this instance: its watchers hear of it, and by them who is about to send there. */
  noteUnreachable (server: number): void {
    const { address, clock, watchersOf } = this.options
    const word: LoadWord = { kind: DatagramKind.LoadWord, address, loads: [], unreachable: [server], saved: [] }
    watchersOf(server).forEach(watcher => this.sendWord(watcher, word, clock.now()))
  }

  /** This instance had a level saved: the watchers of its home tell those who ask next, so that it is saved once. */
  noteSaved ({ level, home }: LevelAtHome): void {
    const { address, clock, watchersOf } = this.options
    const word: LoadWord = { kind: DatagramKind.LoadWord, address, loads: [], unreachable: [], saved: [level] }
    watchersOf(home).forEach(watcher => this.sendWord(watcher, word, clock.now()))
  }

  /** A store came back empty: nobody is told any more that a level was saved. */
  forgetSaved (): void {
    this.watch.saved.forget()
  }

  /** Load of those of the servers that this instance is asked for, to tell everyone. */
  sums (servers: readonly number[]): ServerUse[] {
    const { address, clock } = this.options
    return servers
      .filter(server => this.options.watchersOf(server)[0] === address)
      .map(server => ({ server, ...this.watch.sumOf(server, '', clock.now()) }))
      .filter(({ outstanding }) => outstanding > 0)
  }

  /**
   * Asks for the load of servers, and whether a level was saved; resolves when all
   * is known that will be, and never fails.
   */
  async ask (servers: readonly number[], level?: LevelAtHome): Promise<void> {
    const questions = this.plan(servers, level)
    const { address } = this.options
    const own = questions.get(address)
    if (own) {
      questions.delete(address)
      this.learn(this.answerTo(own, address))
    }
    if (questions.size > 0) {
      await this.question(questions)
    }
  }

  /** What to ask whom. */
  private plan (servers: readonly number[], level: LevelAtHome | undefined): Map<string, Question> {
    const questions = new Map<string, Question>()
    for (const server of new Set(level === undefined ? servers : [...servers, level.home])) {
      const watcher = this.options.watchersOf(server).find(address => !this.isPassedOver(address))
      if (watcher !== undefined) {
        const question = questions.get(watcher) ?? { servers: [], levels: [] }
        question.servers.push(server)
        if (server === level?.home) {
          question.levels.push(level.level)
        }
        questions.set(watcher, question)
      }
    }
    return questions
  }

  private async question (questions: ReadonlyMap<string, Question>): Promise<void> {
    const { clock, address, send } = this.options
    const number = this.number++
    const waiting = new Set(questions.keys())
    await new Promise<void>(resolve => {
      const cancel = clock.at(clock.now() + ANSWER_MS, () => this.giveUp(number))
      this.pending.set(number, { waiting, settle: () => { cancel(); resolve() } })
      questions.forEach((question, watcher) => send(watcher, { kind: DatagramKind.LoadQuestion, address, number, ...question }))
    })
  }

  private giveUp (number: number): void {
    const pending = this.pending.get(number)
    const until = this.options.clock.now() + PASSED_OVER_MS
    pending?.waiting.forEach(watcher => {
      const unanswered = (this.silences.get(watcher)?.unanswered ?? 0) + 1
      this.silences.set(watcher, { unanswered, until })
      if (unanswered === MOST_UNANSWERED) {
        this.options.onPassedOver(watcher)
      }
    })
    this.pending.delete(number)
    pending?.settle()
  }

  private isPassedOver (address: string): boolean {
    const now = this.options.clock.now()
    if (address === this.options.address) {
      return now < this.isWholeAt
    }
    const { unanswered, until } = this.silences.get(address) ?? { unanswered: 0, until: 0 }
    return unanswered >= MOST_UNANSWERED && now < until
  }

  /** One that missed words says nothing rather than too little; the other watcher is asked in its place. */
  private answer (question: LoadQuestion, now: number): void {
    if (now >= this.isWholeAt) {
      const { address, number } = question
      this.options.send(address, { kind: DatagramKind.LoadAnswer, address: this.options.address, number, ...this.answerTo(question, address) })
    }
  }

  private answerTo ({ servers, levels }: Question | LoadQuestion, asker: string): Learned {
    const now = this.options.clock.now()
    return {
      loads: servers.map(server => ({ server, ...this.watch.sumOf(server, asker, now) })),
      unreachable: servers.filter(server => this.watch.isUnreachable(server, now)),
      saved: levels.filter(level => this.watch.saved.has(level, now))
    }
  }

  private learn ({ loads, unreachable, saved }: Learned): void {
    const { use, onUnreachable, onSaved } = this.options
    loads.forEach(({ server, ...load }) => use.learn(server, load))
    unreachable.forEach(onUnreachable)
    onSaved(saved)
  }

  private takeAnswer (answer: LoadAnswer): void {
    const { address, number } = answer
    this.silences.delete(address)
    this.learn(answer)
    const pending = this.pending.get(number)
    if (pending?.waiting.delete(address) === true && pending.waiting.size === 0) {
      this.pending.delete(number)
      pending.settle()
    }
  }

  private look (): void {
    const now = this.options.clock.now()
    this.lookedAt = now
    this.isLookDue = false
    this.tell(now)
  }

  /** Changed words go to the first watcher at once; all go to both with a beat. */
  private tell (now: number): void {
    const own = new Map(this.options.own().map(use => [use.server, use]))
    const words = new Map<string, ServerUse[]>()
    const gone = [...this.told.keys()].filter(server => !own.has(server))
    for (const use of [...own.values(), ...gone.map(server => ({ server, outstanding: 0, tokens: 0, heldTokens: 0 }))]) {
      const last = this.told.get(use.server)
      const isDue = last === undefined || last.at + TELL_AGAIN_MS <= now
      if (isDue || !isSame(last, use)) {
        this.put(use, isDue, words, now)
      }
    }
    const { address } = this.options
    words.forEach((loads, watcher) => this.sendWord(watcher, { kind: DatagramKind.LoadWord, address, loads, unreachable: [], saved: [] }, now))
  }

  private put (use: ServerUse, isForAll: boolean, words: Map<string, ServerUse[]>, now: number): void {
    const { server, outstanding, tokens, heldTokens } = use
    const watchers = this.options.watchersOf(server)
    const [first = ''] = watchers
    const at = isForAll ? now : this.told.get(server)?.at ?? now
    this.told.set(server, { outstanding, tokens, heldTokens, at })
    for (const watcher of isForAll || outstanding === 0 ? watchers : [first]) {
      words.set(watcher, [...words.get(watcher) ?? [], { server, outstanding, tokens, heldTokens }])
    }
    if (outstanding === 0) {
      this.told.delete(server)
    }
  }

  private takeWord ({ address, loads, unreachable, saved }: LoadWord, now: number): void {
    this.watch.hear(address, loads, now)
    this.watch.hearUnreachable(address, unreachable, now)
    this.watch.saved.hear(saved, now)
  }

  private sendWord (watcher: string, word: LoadWord, now: number): void {
    const { address, send } = this.options
    if (watcher === address) {
      this.takeWord(word, now)
    } else {
      send(watcher, word)
    }
  }
}

function isSame (one: ServerLoad, other: ServerLoad): boolean {
  return one.outstanding === other.outstanding && one.tokens === other.tokens && one.heldTokens === other.heldTokens
}
