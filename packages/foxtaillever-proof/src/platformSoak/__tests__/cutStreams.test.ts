import { describe, it } from 'foxtaillever-testing'
import { RunEnd } from 'foxtaillever-standins'
import { findCuts, unexpectedExits, type CutReport, type TimedRequest } from '../cutStreams.js'
import { Disturbances } from '../disturbances.js'
import { RequestLines } from '../requestLines.js'
import type { SoakFleet } from '../soakFleet.js'

const SENT_AT = 10_000
const DEADLINE = 30_000

interface Given {
  readonly status?: number
  readonly isWhole?: boolean
  readonly endedAt?: number
  readonly lastByteAt?: number
  /** How the only run ended; undefined for a request that ran nowhere. */
  readonly run?: { readonly how: RunEnd, readonly at: number } | undefined
  readonly signal?: { readonly kind: 'SIGKILL' | 'SIGTERM', readonly at: number }
  readonly hasFaultyLink?: boolean
}

/** Reports on one stream that its instance cut while the server worked, unless given otherwise. */
async function reportOn (given: Given): Promise<CutReport> {
  const { status = 200, isWhole = false, endedAt = 12_000, lastByteAt = SENT_AT, signal, hasFaultyLink = false } = given
  const run = 'run' in given ? given.run : { how: RunEnd.Cancelled, at: endedAt }
  const cuts = Disturbances.create(() => SENT_AT)
  if (hasFaultyLink) {
    await cuts.recordDuring(async () => {})
  }
  const arrivals = run === undefined ? [] : [{ requestId: 'long-0', at: SENT_AT, hasRun: true, end: run }]
  const instance = { lines: RequestLines.create(), child: { options: { name: 'instance-1' }, endings: signal === undefined ? [] : [signal] } }
  const fleet = { platform: { servers: [{ arrivals }] }, instances: [instance] } as unknown as SoakFleet
  const stream = { id: 'long-0', instance: 0, sentAt: SENT_AT, endedAt, deadline: DEADLINE, reply: { status, isWhole, lastByteAt, answerBytes: 0 } } as unknown as TimedRequest
  return findCuts(fleet, [stream], cuts)
}

async function countCuts (given: Given): Promise<number> {
  return (await reportOn(given)).violations.length
}

describe('cut streams of a soak', () => {
  // Guards against an oracle that finds no cut at all.
  it('include one whose server went on or had finished', async t => {
    t.is(await countCuts({}), 1)
    t.is(await countCuts({ run: { how: RunEnd.Finished, at: 11_000 } }), 1)
    t.is(await countCuts({ status: 0 }), 1)
  })

  // Guards against an oracle that knows only requests that reached a server.
  it('include a whole request that no server got, unless its connection ends within 200 ms of its last byte', async t => {
    t.is(await countCuts({ status: 0, run: undefined }), 1)
    t.is(await countCuts({ status: 0, run: undefined, lastByteAt: 11_790 }), 1)
    t.is(await countCuts({ status: 0, run: undefined, lastByteAt: 11_810 }), 0)
    t.is(await countCuts({ status: 0, run: undefined, lastByteAt: Infinity }), 0, 'not sent whole')
  })

  // Guards against an answer of 502 that passes for a sound one though the server was only silent.
  it('include an answer of 502 whose server went on', async t => {
    t.is(await countCuts({ status: 502, isWhole: true }), 1)
    t.is(await countCuts({ status: 502, isWhole: true, run: undefined }), 0)
    t.deepEqual((await reportOn({ status: 502, isWhole: true, run: { how: RunEnd.BrokenOff, at: 12_000 } })).excused, { 'a server broke off': 1 })
  })

  it('include none that is whole or refused', async t => {
    t.is(await countCuts({ isWhole: true }), 0)
    t.is(await countCuts({ status: 503, isWhole: true }), 0)
  })

  it('excuse what a server, a deadline, a kill or a link ended', async t => {
    t.deepEqual((await reportOn({ run: { how: RunEnd.BrokenOff, at: 12_000 } })).excused, { 'a server broke off': 1 })
    t.deepEqual((await reportOn({ endedAt: DEADLINE })).excused, { 'the deadline passed': 1 })
    t.deepEqual((await reportOn({ signal: { kind: 'SIGKILL', at: 11_990 } })).excused, { 'the process was killed': 1 })
    t.deepEqual((await reportOn({ hasFaultyLink: true })).excused, { 'a link was faulty': 1 })
    t.is(await countCuts({ signal: { kind: 'SIGKILL', at: 9000 } }), 1)
  })

  // A shutdown of 8 s may cut only what its server still works on in the last sixth.
  it('excuse a shutdown only where the server works until the end of the grace period', async t => {
    const signal = { kind: 'SIGTERM', at: 9000 } as const
    t.deepEqual((await reportOn({ signal, endedAt: 16_760, run: { how: RunEnd.Cancelled, at: 16_760 } })).excused, { 'a run took until the end of the grace period': 1 })
    t.is(await countCuts({ signal, endedAt: 16_760, run: { how: RunEnd.Finished, at: 15_000 } }), 1)
    t.is(await countCuts({ signal, endedAt: 11_600 }), 1)
    t.is(await countCuts({ signal: { ...signal, at: 6500 }, endedAt: 14_260, run: { how: RunEnd.Cancelled, at: 14_260 } }), 1, 'sent later than 3 s after the SIGTERM')
  })
})

describe('processes of a soak', () => {
  // Guards against a process that ends for want of memory, and is started again unnoticed.
  it('are reported if they end by themselves', t => {
    const instances = [{ child: { options: { name: 'instance-1' }, unexpectedExits: [{ kind: 'SIGABRT', at: 1 }] } }] as unknown as SoakFleet['instances']
    t.deepEqual(unexpectedExits({ instances }), ['instance-1 ended by itself with SIGABRT'])
  })
})
