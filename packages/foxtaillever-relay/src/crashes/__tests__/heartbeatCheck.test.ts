import { Failure, FailureCode, Verdict } from 'foxtaillever-core'
import { describe, it, VirtualClock } from 'foxtaillever-testing'
import { Left, Right, type Either } from 'purify-ts'
import type { KeyedRecord, RecordPage } from '../../knowledge/keyedLog.js'
import { ServerState, type ListedServer } from '../../model/listedServer.js'
import { incarnationHash } from '../../servers/knownServer.js'
import { HeartbeatCheck } from '../heartbeatCheck.js'

const HEARTBEAT_MS = 1200
const dark = Left(Failure.create(FailureCode.LogUnavailable, Verdict.NotRun, 'dark'))

const listed: ListedServer = { id: 's', startedAt: 7, service: 'service', address: 'a:1', failureDomain: 'd', slots: 1, state: ServerState.Ready, coldLeftMs: 0, softwareVersion: 'v1', weights: new Map() }
const hash = incarnationHash(listed)

interface Topic {
  readonly records: KeyedRecord[]
  isDark: boolean
}

function writeEntry ({ records }: Topic, key: string, startedAt: number): void {
  records.push({ key, value: Buffer.from(String(startedAt)), offset: records.length })
}

/** @param write writes to the topic while the check waits. */
async function check (write: (topic: Topic) => void): Promise<boolean> {
  const clock = VirtualClock.create()
  const topic: Topic = { records: [], isDark: false }
  // Written before the connections broke.
  writeEntry(topic, 's', 7)
  const read = async (_topic: string, from: number): Promise<Either<Failure, RecordPage>> =>
    topic.isDark ? dark : Right({ records: topic.records.slice(from), next: topic.records.length, isGap: false })
  const heartbeats = HeartbeatCheck.create({ clock, log: { read }, topic: 'servers', readServer: (id, value) => Right({ ...listed, id, startedAt: Number(value) }), heartbeatMs: HEARTBEAT_MS, position: () => 0, serverOf: () => ({ hash, listed }) })
  const isBeating = heartbeats.isBeating(hash)
  await clock.advanceBy(HEARTBEAT_MS)
  write(topic)
  await clock.advanceBy(HEARTBEAT_MS)
  return await isBeating
}

describe('HeartbeatCheck', () => {
  it('finds a server alive that writes its entry', async t => {
    t.true(await check(topic => writeEntry(topic, 's', 7)))
  })

  // Guards against requests that crash servers and are not held back since an entry from before the crash, or of another server, counts.
  it('finds a server ended that writes nothing more', async t => {
    t.false(await check(() => {}))
    t.false(await check(topic => writeEntry(topic, 'other', 7)))
    t.false(await check(topic => writeEntry(topic, 's', 8)))
  })

  // Guards against requests that crash servers and are not held back while the store is away.
  it('does not take a store that does not answer for a sign of life', async t => {
    t.false(await check(topic => { topic.isDark = true }))
  })
})
