/**
 * Initial discovery of instances: each writes its address to a topic of the
 * platform's store when it starts and reads the addresses of the others. From
 * then on, membership spreads by datagrams.
 */
import { waitUntil, type Clock, type Failure, type Random } from 'foxtaillever-core'
import type { Either } from 'purify-ts'
import type { KeyedLog } from './keyedLog.js'

/** A keyed log that can be written. */
export interface WritableKeyedLog extends KeyedLog {
  readonly put: (topic: string, key: string, value: Buffer) => Promise<Either<Failure, void>>
}

export interface MemberRegistryOptions {
  readonly clock: Clock
  readonly random: Random
  readonly log: WritableKeyedLog
  readonly topic: string
  readonly name: string
  readonly address: string
  readonly onAddresses: (addresses: readonly string[]) => void
  /** An instance that is leaving stops its attempts to register. */
  readonly isLeaving: () => boolean
}

/** How long the store may take to answer, milliseconds; all instances may start and query it at the same time. */
const ANSWER_TIMEOUT_MS = 2800

/** Between two attempts while the store does not answer, milliseconds. */
const RETRY_INTERVAL_MS = 1500

/** An instance that fails to register still contacts the instances whose addresses it has read. */
const MAX_ATTEMPTS = 20

/** After a restore all instances register again, spread over this time, milliseconds: 380 instances make about 100 calls a second. */
const REGISTRATION_SPREAD_MS = 4000

export class MemberRegistry {
  private constructor (private readonly options: MemberRegistryOptions) {}

  static create (options: MemberRegistryOptions): MemberRegistry {
    return new MemberRegistry(options)
  }

  /** Writes the address and reads all others, with retries until both succeed. */
  async register (): Promise<void> {
    await this.retry(async () => await this.putAddress() && await this.readAddresses())
  }

  /** Writes the address again after the store was restored from a backup, which may lack it. */
  async registerAgain (): Promise<void> {
    const { clock, random } = this.options
    await waitUntil(clock, clock.now() + random.below(REGISTRATION_SPREAD_MS))
    await this.retry(async () => await this.putAddress())
  }

  private async retry (attempt: () => Promise<boolean>): Promise<void> {
    const { clock, isLeaving } = this.options
    for (let attempts = 0; attempts < MAX_ATTEMPTS && !isLeaving(); attempts += 1) {
      if (await attempt()) {
        return
      }
      await waitUntil(clock, clock.now() + RETRY_INTERVAL_MS)
    }
  }

  private async putAddress (): Promise<boolean> {
    const { log, topic, name, address } = this.options
    return (await log.put(topic, name, Buffer.from(address))).isRight()
  }

  private async readAddresses (): Promise<boolean> {
    const { log, topic, onAddresses } = this.options
    const page = await log.newest(topic, '', ANSWER_TIMEOUT_MS)
    page.ifRight(({ records }) => onAddresses(records.flatMap(({ value }) => value ? [value.toString()] : [])))
    return page.isRight()
  }
}
