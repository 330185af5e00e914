/**
 * Where instances find each other first: each puts its address into a topic of
 * the platform's store at its start and reads the others'. From then on they
 * hear of each other by datagrams.
 */
import { waitUntil, type Clock, type Failure, type Random } from 'foxtaillever-core'
import type { Either } from 'purify-ts'
import type { KeyedLog } from './keyedLog.js'
import { eraOf } from './storePosition.js'

/** A keyed topic that may be written. */
export interface WritableKeyedLog extends KeyedLog {
  readonly put: (topic: string, key: string, value: Buffer) => Promise<Either<Failure, void>>
}

export interface MemberBookOptions {
  readonly clock: Clock
  readonly random: Random
  readonly log: WritableKeyedLog
  readonly topic: string
  readonly name: string
  readonly address: string
  /** The topic did not name this instance before: this is its first life. */
  readonly onFirstLife: () => void
  readonly onAddresses: (addresses: readonly string[]) => void
  /** An instance that leaves need not be found. */
  readonly isLeaving: () => boolean
}

/** How long the store may take to answer, milliseconds: at a start, all instances may ask at the same time. */
const ANSWER_MS = 2800

/** Between two tries while the store does not answer, milliseconds. */
const AGAIN_MS = 1500

/** Tries in all: an instance that could not enter its address still greets those it reads of. */
const MOST_TRIES = 20

/** All instances enter their addresses again at once; spread over so long, 380 make 100 calls a second, milliseconds. */
const ENTER_SPREAD_MS = 4000

export class MemberBook {
  private constructor (private readonly options: MemberBookOptions) {}

  static create (options: MemberBookOptions): MemberBook {
    return new MemberBook(options)
  }

  /** Enters the address and reads all others, until both have worked once. */
  async enter (): Promise<void> {
    await this.noteFirstLife()
    await this.retry(async () => await this.put() && await this.readAddresses())
  }

  /** The store was restored from an older copy, which may lack the address. */
  async enterAgain (): Promise<void> {
    const { clock, random } = this.options
    await waitUntil(clock, clock.now() + random.below(ENTER_SPREAD_MS))
    await this.retry(async () => await this.put())
  }

  /** A store that was restored may have lost the address, and shows no first life. */
  private async noteFirstLife (): Promise<void> {
    const { log, topic, name, onFirstLife } = this.options
    const before = await log.newest(topic, '', ANSWER_MS)
    before.ifRight(({ records, end }) => {
      if (eraOf(end) === 0 && !records.some(({ key }) => key === name)) {
        onFirstLife()
      }
    })
  }

  private async retry (attempt: () => Promise<boolean>): Promise<void> {
    const { clock, isLeaving } = this.options
    for (let tries = 0; tries < MOST_TRIES && !isLeaving(); tries += 1) {
      if (await attempt()) {
        return
      }
      await waitUntil(clock, clock.now() + AGAIN_MS)
    }
  }

  private async put (): Promise<boolean> {
    const { log, topic, name, address } = this.options
    return (await log.put(topic, name, Buffer.from(address))).isRight()
  }

  private async readAddresses (): Promise<boolean> {
    const { log, topic, onAddresses } = this.options
    const page = await log.newest(topic, '', ANSWER_MS)
    page.ifRight(({ records }) => onAddresses(records.flatMap(({ value }) => value ? [value.toString()] : [])))
    return page.isRight()
  }
}
