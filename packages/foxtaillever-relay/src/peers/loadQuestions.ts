/**
 * What an instance asks the watchers of servers before it chooses one. The first
 * watcher of each is asked; one that does not answer is passed over for a while,
 * since the second heard every word too.
 */
import type { Clock } from 'foxtaillever-core'
import { DatagramKind } from './datagram.js'
import type { LoadAnswer, LoadQuestion } from './loadMessage.js'
import { PassedOver } from './passedOver.js'

/** A watcher answers from memory and is at most 2.8 away and back, milliseconds; a slow machine's loop takes up to 10 more. */
const ANSWER_MS = 15

/** A prompt level, and the server that is its home. */
export interface LevelAtHome {
  readonly level: number
  /** By its hash. */
  readonly home: number
}

/** What is to be known before a server is chosen. */
export interface LoadWish {
  /** By their hashes. */
  readonly servers: readonly number[]
  /** The deepest shared level of the prompt, where it is saved. */
  readonly level?: LevelAtHome | undefined
}

/** What is asked of one watcher. */
export interface WatcherQuestion {
  readonly servers: number[]
  readonly levels: number[]
}

/** What a watcher knows. */
export type WatcherWord = Pick<LoadAnswer, 'loads' | 'unreachable' | 'saved' | 'resting'>

interface Pending {
  readonly waiting: Set<string>
  readonly settle: () => void
}

export interface LoadQuestionsOptions {
  readonly clock: Clock
  readonly address: string
  /** Addresses of a server's watchers, by the server's hash. */
  readonly watchersOf: (server: number) => readonly string[]
  readonly send: (address: string, question: LoadQuestion) => void
  /** What this instance knows as a watcher. */
  readonly answerOwn: (question: WatcherQuestion) => WatcherWord
  /** Whether this instance has heard every word that it should have as a watcher. */
  readonly isOwnWhole: () => boolean
  readonly onLearned: (word: WatcherWord) => void
  /** A watcher did not answer several questions in a row. */
  readonly onPassedOver: (address: string) => void
}

export class LoadQuestions {
  private readonly passedOver: PassedOver
  private readonly pending = new Map<number, Pending>()
  private number = 0

  private constructor (private readonly options: LoadQuestionsOptions) {
    this.passedOver = PassedOver.create(options)
  }

  static create (options: LoadQuestionsOptions): LoadQuestions {
    return new LoadQuestions(options)
  }

  /**
   * Resolves when all is known that will be, and never fails.
   * @returns the servers that were asked for, by their hashes.
   */
  async ask ({ servers, level }: LoadWish): Promise<ReadonlySet<number>> {
    const asked = new Set(level === undefined ? servers : [...servers, level.home])
    const questions = this.plan(asked, level)
    const { address, answerOwn, onLearned } = this.options
    const own = questions.get(address)
    if (own) {
      questions.delete(address)
      onLearned(answerOwn(own))
    }
    if (questions.size > 0) {
      await this.send(questions)
    }
    return asked
  }

  hear (answer: LoadAnswer): void {
    const { address, number } = answer
    this.passedOver.hear(address)
    this.options.onLearned(answer)
    const pending = this.pending.get(number)
    if (pending?.waiting.delete(address) === true && pending.waiting.size === 0) {
      this.pending.delete(number)
      pending.settle()
    }
  }

  /** What to ask whom. */
  private plan (servers: ReadonlySet<number>, level: LevelAtHome | undefined): Map<string, WatcherQuestion> {
    const questions = new Map<string, WatcherQuestion>()
    for (const server of servers) {
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

  private async send (questions: ReadonlyMap<string, WatcherQuestion>): Promise<void> {
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
    pending?.waiting.forEach(watcher => this.passedOver.miss(watcher))
    this.pending.delete(number)
    pending?.settle()
  }

  private isPassedOver (address: string): boolean {
    if (address === this.options.address) {
      return !this.options.isOwnWhole()
    }
    return this.passedOver.has(address)
  }
}
