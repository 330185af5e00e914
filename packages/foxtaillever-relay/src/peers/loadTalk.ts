/**
 * Load in a large fleet. Each server has computed watchers: every instance tells
 * them what it puts on the server as it changes, and asks the first of them
 * before it chooses. So what it knows is as old as a datagram's way, and what it
 * costs grows with its own requests and not with the fleet.
 */
import type { Cancellation } from 'foxtaillever-core'
import type { ServerLoad } from 'foxtaillever-policy/relay/serverLoad'
import { DatagramKind } from './datagram.js'
import type { FleetUse } from './fleetUse.js'
import type { LoadMessage, LoadQuestion, LoadWord } from './loadMessage.js'
import { LoadQuestions, type LevelAtHome, type LoadQuestionsOptions, type LoadWish, type WatcherQuestion, type WatcherWord } from './loadQuestions.js'
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

/** Without a beat for so long, milliseconds, this instance stood still, or has just begun; words went by unheard. */
const MISSED_BEAT_MS = 1500

export interface LoadTalkOptions extends Pick<LoadQuestionsOptions, 'clock' | 'address' | 'watchersOf' | 'onPassedOver'> {
  readonly use: FleetUse
  readonly send: (address: string, message: LoadMessage) => void
  /** Load that this instance puts on each server now. */
  readonly own: () => readonly ServerUse[]
  /** Whether anybody asks for the load of the server before a choice; that of the others goes with the beats. */
  readonly isAskedFor: (server: number) => boolean
  /** Levels were saved of late by whomever. */
  readonly onSaved: (levels: readonly number[]) => void
  /** Several instances could not reach a server of late. */
  readonly onUnreachable: (server: number) => void
  /** A server asked other instances for rest of late. */
  readonly onResting: (server: number) => void
}

interface ToldWord extends ServerLoad {
  readonly at: number
}

export class LoadTalk {
  private readonly watch = LoadWatch.create()
  private readonly questions: LoadQuestions
  /** What was told last, by the server's hash; `at` is when both watchers heard it. */
  private readonly told = new Map<number, ToldWord>()
  private beatAt = 0
  private lookedAt = 0
  private isLookDue = false
  /** By then everybody has told everything again, milliseconds of Unix time. */
  private isWholeAt = Infinity
  private cancelLook: Cancellation = () => {}

  private constructor (private readonly options: LoadTalkOptions) {
    const { address, clock } = options
    this.questions = LoadQuestions.create({
      ...options,
      answerOwn: question => this.answerTo(question, address),
      isOwnWhole: () => clock.now() >= this.isWholeAt,
      onLearned: word => this.learn(word)
    })
  }

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
    this.look(() => true)
  }

  /** What this instance puts on a server is another; tells it soon, together with what changes until then. */
  noteChange (): void {
    if (!this.isLookDue) {
      this.isLookDue = true
      this.cancelLook = this.options.clock.at(this.lookedAt + LOOK_MS, () => this.look(this.options.isAskedFor))
    }
  }

  hear (message: LoadMessage): void {
    const now = this.options.clock.now()
    switch (message.kind) {
      case DatagramKind.LoadWord: this.takeWord(message, now); break
      case DatagramKind.LoadQuestion: this.answer(message, now); break
      case DatagramKind.LoadAnswer: this.questions.hear(message); break
    }
  }

  /** Asks the watchers of servers what they know; see `LoadQuestions`. */
  async ask (wish: LoadWish): Promise<ReadonlySet<number>> {
    return await this.questions.ask(wish)
  }

  /** A server took no connection from this instance: its watchers hear of it, and by them who is about to send there. */
  noteUnreachable (server: number): void {
    this.tellWatchers(server, { unreachable: [server] })
  }

  /** A server asked for rest: whoever is about to send there hears of it. */
  noteResting (server: number): void {
    if (this.options.isAskedFor(server)) {
      this.tellWatchers(server, { resting: [server] })
    }
  }

  /** This instance had a level saved: the watchers of its home tell those who ask next, so that it is saved once. */
  noteSaved ({ level, home }: LevelAtHome): void {
    this.tellWatchers(home, { saved: [level] })
  }

  /** A store came back empty: nobody is told any more that a level was saved. */
  forgetSaved (): void {
    this.watch.saved.clear()
  }

  /** Load of those of the servers that this instance is asked for, to tell everyone. */
  sums (servers: readonly number[]): ServerUse[] {
    const { address, clock } = this.options
    return servers
      .filter(server => this.options.watchersOf(server)[0] === address)
      .map(server => ({ server, ...this.watch.sumOf(server, '', clock.now()) }))
      .filter(({ outstanding }) => outstanding > 0)
  }

  /** One that missed words says nothing rather than too little; the other watcher is asked in its place. */
  private answer (question: LoadQuestion, now: number): void {
    if (now >= this.isWholeAt) {
      const { address, number } = question
      this.options.send(address, { kind: DatagramKind.LoadAnswer, address: this.options.address, number, ...this.answerTo(question, address) })
    }
  }

  private answerTo ({ servers, levels }: WatcherQuestion | LoadQuestion, asker: string): WatcherWord {
    const now = this.options.clock.now()
    return {
      loads: servers.map(server => ({ server, ...this.watch.sumOf(server, asker, now) })),
      unreachable: servers.filter(server => this.watch.isUnreachable(server, now)),
      saved: levels.filter(level => this.watch.saved.isSavedRecently(level, now)),
      resting: servers.filter(server => this.watch.isResting(server, now))
    }
  }

  private learn ({ loads, unreachable, saved, resting }: WatcherWord): void {
    const { use, onUnreachable, onResting, onSaved } = this.options
    loads.forEach(({ server, ...load }) => use.learn(server, load))
    unreachable.forEach(onUnreachable)
    resting.forEach(onResting)
    onSaved(saved)
  }

  private look (isTold: (server: number) => boolean): void {
    const now = this.options.clock.now()
    this.lookedAt = now
    this.isLookDue = false
    this.tell(isTold, now)
  }

  /** Changed words go to the first watcher at once; all go to both with a beat. */
  private tell (isTold: (server: number) => boolean, now: number): void {
    const own = new Map(this.options.own().filter(({ server }) => isTold(server)).map(use => [use.server, use]))
    const words = new Map<string, ServerUse[]>()
    const gone = [...this.told.keys()].filter(server => !own.has(server) && isTold(server))
    for (const use of [...own.values(), ...gone.map(server => ({ server, outstanding: 0, tokens: 0, heldTokens: 0 }))]) {
      const last = this.told.get(use.server)
      const isDue = last === undefined || last.at + TELL_AGAIN_MS <= now
      if (isDue || !isSame(last, use)) {
        this.put(use, isDue, words, now)
      }
    }
    words.forEach((loads, watcher) => this.sendWord(watcher, { loads }, now))
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

  private takeWord ({ address, loads, unreachable, saved, resting }: LoadWord, now: number): void {
    this.watch.hear(address, loads, now)
    this.watch.hearUnreachable(address, unreachable, now)
    this.watch.saved.recordAnnounced(saved, now)
    this.watch.hearResting(resting, now)
  }

  private tellWatchers (server: number, news: Partial<WatcherWord>): void {
    const { clock, watchersOf } = this.options
    watchersOf(server).forEach(watcher => this.sendWord(watcher, news, clock.now()))
  }

  private sendWord (watcher: string, { loads = [], unreachable = [], saved = [], resting = [] }: Partial<WatcherWord>, now: number): void {
    const { address, send } = this.options
    const word: LoadWord = { kind: DatagramKind.LoadWord, address, loads, unreachable, saved, resting }
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
