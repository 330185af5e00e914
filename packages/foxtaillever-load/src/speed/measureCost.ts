/** Compares the router with the bare pass-through in interleaved segments: processor time per request and per streamed token, and added latency. */
import { createFigure, type Figure } from './figure.js'
import type { Bench, Segment, Subject, SegmentLoad } from './bench.js'
import { SubjectKind } from './subject.js'

/** From the issue that asks for these measurements. */
const TARGET_TOKEN_RATIO = 1.5
const TARGET_ADDED_P99_MS = 2

const SEGMENTS = 4
const SHORT: SegmentLoad = { requestsPerSecond: 60, seconds: 2, tokens: 4, promptTokens: 1024 }
const LONG: SegmentLoad = { ...SHORT, tokens: 104 }
const HALF_LOAD_SECONDS = 4
const HALF_LOAD_TOKENS = 16

interface Cost {
  readonly perRequestMs: number
  readonly perTokenMs: number
}

async function measureOnce (subject: Subject): Promise<Cost> {
  const short = await subject.load(SHORT)
  const long = await subject.load(LONG)
  const perTokenMs = (long.cpuMsPerRequest - short.cpuMsPerRequest) / (LONG.tokens - SHORT.tokens)
  return { perTokenMs, perRequestMs: short.cpuMsPerRequest - perTokenMs * SHORT.tokens }
}

/** Measures both subjects in alternating order, so that gradual changes of the machine affect both alike. */
async function interleave<Value> (subjects: readonly [Subject, Subject], run: (subject: Subject) => Promise<Value>): Promise<Array<[Value, Value]>> {
  const pairs: Array<[Value, Value]> = []
  for (let segment = 0; segment < SEGMENTS; segment++) {
    if (segment % 2 === 0) {
      const first = await run(subjects[0])
      pairs.push([first, await run(subjects[1])])
    } else {
      const second = await run(subjects[1])
      pairs.push([await run(subjects[0]), second])
    }
  }
  return pairs
}

function costFigures (pairs: ReadonlyArray<readonly [Cost, Cost]>): Figure[] {
  const values = (valueOf: (router: Cost, bare: Cost) => number): number[] => pairs.map(([router, bare]) => valueOf(router, bare))
  return [
    createFigure('router: processor time a request', values(router => router.perRequestMs * 1000), 'us'),
    createFigure('pass-through: processor time a request', values((_, bare) => bare.perRequestMs * 1000), 'us'),
    createFigure('processor time a request, ratio', values((router, bare) => router.perRequestMs / bare.perRequestMs), ''),
    createFigure('router: processor time a streamed token', values(router => router.perTokenMs * 1000), 'us'),
    createFigure('pass-through: processor time a streamed token', values((_, bare) => bare.perTokenMs * 1000), 'us'),
    createFigure('processor time a streamed token, ratio', values((router, bare) => router.perTokenMs / bare.perTokenMs), '', TARGET_TOKEN_RATIO)
  ]
}

function addedFigures (rate: number, pairs: ReadonlyArray<readonly [Segment, Segment]>): Figure[] {
  const name = `at half load (${rate.toFixed(0)} requests a second)`
  return [
    createFigure(`router: time to first token p99 ${name}`, pairs.map(([router]) => router.firstTokenP99Ms), 'ms'),
    createFigure('pass-through: the same', pairs.map(([, bare]) => bare.firstTokenP99Ms), 'ms'),
    createFigure('time added p50 at half load', pairs.map(([router, bare]) => router.firstTokenP50Ms - bare.firstTokenP50Ms), 'ms'),
    createFigure('time added p99 at half load', pairs.map(([router, bare]) => router.firstTokenP99Ms - bare.firstTokenP99Ms), 'ms', TARGET_ADDED_P99_MS),
    createFigure('requests without a whole first token', pairs.map(([router, bare]) => router.failed + bare.failed), '', 0)
  ]
}

export async function measureCost (bench: Bench): Promise<Figure[]> {
  const subjects = [await bench.start(SubjectKind.Router), await bench.start(SubjectKind.PassThrough)] as const
  const costs = await interleave(subjects, measureOnce)
  const perRequestMs = costs.reduce((sum, [router]) => sum + router.perRequestMs + router.perTokenMs * HALF_LOAD_TOKENS, 0) / costs.length
  // Half load: the router's process uses half a core.
  const rate = 500 / perRequestMs
  const load = { requestsPerSecond: rate, seconds: HALF_LOAD_SECONDS, tokens: HALF_LOAD_TOKENS, promptTokens: SHORT.promptTokens }
  const latencies = await interleave(subjects, async subject => await subject.load(load))
  const idle = createFigure('router: idle processor time', [subjects[0].idleCpuMs], 'ms a second')
  subjects.forEach(subject => subject.stop())
  return [...costFigures(costs), ...addedFigures(rate, latencies), idle]
}
