/**
 * Keeps quarantines in a topic of the platform's store, so that they outlive a moment in
 * which no instance runs. An instance reads them when it starts, before it is ready.
 */
import { decodeJson, waitUntil, type Clock } from 'foxtaillever-core'
import { CauseKind } from 'foxtaillever-policy/crashes/suspicion'
import type { Quarantine } from 'foxtaillever-policy/crashes/quarantineTable'
import { Codec, enumeration, nullType, number, oneOf, string } from 'purify-ts'
import { array, boolean } from 'purify-ts/Codec'
import type { WritableKeyedLog } from '../knowledge/memberRegistry.js'
import type { RelayLog } from '../telemetry/relayLog.js'
import type { QuarantineUpdate } from './crashMessage.js'

export interface QuarantineStoreOptions {
  readonly clock: Clock
  readonly log: WritableKeyedLog
  readonly topic: string
  readonly relayLog: Pick<RelayLog, 'belief'>
  /** Milliseconds of Unix time by the machine's clock, which other machines read too. */
  readonly wallClock: () => number
  readonly onRead: (quarantines: readonly QuarantineUpdate[]) => void
  /** An instance that is leaving stops its attempts. */
  readonly isLeaving: () => boolean
}

const record = Codec.interface({
  kind: enumeration(CauseKind),
  id: string,
  account: oneOf([string, nullType]),
  servers: array(number),
  revision: number,
  isLifted: boolean,
  /** Milliseconds of Unix time by the writer's clock. */
  expiresAt: number
})

/** How long the store may take to answer, milliseconds; all instances may start and query it at the same time. */
const ANSWER_TIMEOUT_MS = 2800

/** Between two attempts while the store does not answer, milliseconds. */
const RETRY_INTERVAL_MS = 1500
const MAX_ATTEMPTS = 20

export class QuarantineStore {
  /** Whether the store was read since the start. */
  isRead = false

  private constructor (private readonly options: QuarantineStoreOptions) {}

  static create (options: QuarantineStoreOptions): QuarantineStore {
    return new QuarantineStore(options)
  }

  /** Reads all quarantines, with retries until the store answers. */
  async read (): Promise<void> {
    await this.retry(async () => {
      const page = await this.options.log.newest(this.options.topic, '', ANSWER_TIMEOUT_MS)
      page.ifRight(({ records }) => {
        const quarantines = records.flatMap(({ value }) => value === undefined ? [] : this.decode(value))
        this.options.onRead(quarantines)
        this.isRead = true
        this.options.relayLog.belief('Read what is known to crash backend servers.', { quarantines: quarantines.length })
      })
      return page.isRight()
    })
  }

  /** Writes the quarantine, with retries until the store answers. */
  async write (quarantine: Quarantine): Promise<void> {
    const { log, topic } = this.options
    await this.retry(async () => (await log.put(topic, `${quarantine.kind}/${quarantine.id}`, this.encode(quarantine))).isRight())
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

  private encode ({ expiresAt, account, ...quarantine }: Quarantine): Buffer {
    const { clock, wallClock } = this.options
    return Buffer.from(JSON.stringify({ ...quarantine, account: account ?? null, expiresAt: wallClock() + expiresAt - clock.now() }))
  }

  private decode (value: Buffer): QuarantineUpdate[] {
    return decodeJson(record, value)
      .map(({ expiresAt, account, ...quarantine }) => ({ ...quarantine, account: account ?? undefined, leftMs: expiresAt - this.options.wallClock() }))
      .map(update => [update])
      .orDefault([])
  }
}
