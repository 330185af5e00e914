/**
 * Where instances find each other first: each puts its address into a topic of
 * the platform's store at its start and reads the others'. From then on they
 * hear of each other by datagrams.
 */
import { waitUntil, type Clock, type Failure } from 'foxtaillever-core'
import type { Either } from 'purify-ts'
import type { KeyedLog } from './keyedLog.js'

/** A keyed topic that may be written. */
export interface WritableKeyedLog extends KeyedLog {
  readonly put: (topic: string, key: string, value: Buffer) => Promise<Either<Failure, void>>
}

export interface MemberBookOptions {
  readonly clock: Clock
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

/** Between two tries while the store does not answer, milliseconds. */
const AGAIN_MS = 1500

/** Tries in all: an instance that could not enter its address still greets those it reads of. */
const MOST_TRIES = 20

/** Enters the address and reads all others, until both have worked once. */
export async function enterMemberBook ({ clock, log, topic, name, address, onFirstLife, onAddresses, isLeaving }: MemberBookOptions): Promise<void> {
  const before = await log.newest(topic, '')
  before.ifRight(({ records }) => {
    if (!records.some(({ key }) => key === name)) {
      onFirstLife()
    }
  })
  let isEntered = false
  for (let tries = 0; tries < MOST_TRIES && !isLeaving(); tries += 1) {
    isEntered ||= (await log.put(topic, name, Buffer.from(address))).isRight()
    const page = isEntered ? await log.newest(topic, '') : undefined
    if (page?.isRight() === true) {
      onAddresses(page.unsafeCoerce().records.flatMap(({ value }) => value ? [value.toString()] : []))
      return
    }
    await waitUntil(clock, clock.now() + AGAIN_MS)
  }
}
