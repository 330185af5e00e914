/**
 * Measures how the router's processor time grows with connections, accounts, workers and
 * prompt length: the exponent of the growth between the smallest and the largest
 * size, 1 for linear, 0 for none.
 */
import { CHARACTERS_PER_TOKEN } from 'foxtaillever-core'
import { createChatPrompt } from 'foxtaillever-core/hashPrompt'
import { createFigure, type Figure } from './figure.js'
import type { Bench, SegmentLoad } from './bench.js'
import { SMALL_SIZE, type SpeedSize } from './speedShape.js'
import { SubjectKind } from './subject.js'
import { TOKEN_INTERVAL_MS } from './upstream.js'

/** Linear growth, with a margin for the noise of a shared machine. */
const TARGET_EXPONENT = 1.1

/** From the issue that asks for these measurements. */
const TARGET_STOP_MS = 10

const HASHING_RUNS = 20

const SECONDS = 2
const BASE: SegmentLoad = { requestsPerSecond: 150, seconds: SECONDS, tokens: 8, promptTokens: 1024 }

interface Point {
  readonly size: number
  readonly cpuMs: number
}

function exponentOf (points: readonly Point[]): number {
  const first = points[0]
  const last = points.at(-1)
  return first && last ? Math.log(last.cpuMs / first.cpuMs) / Math.log(last.size / first.size) : Number.NaN
}

function growthFigures (name: string, unit: string, points: readonly Point[]): Figure[] {
  return [
    ...points.map(point => createFigure(`${name}: ${point.size}`, [point.cpuMs], unit)),
    createFigure(`${name}: exponent of growth`, [exponentOf(points)], '', TARGET_EXPONENT)
  ]
}

async function measureOnRouter<Value> (bench: Bench, size: SpeedSize, run: (subject: Awaited<ReturnType<Bench['start']>>) => Promise<Value>): Promise<Value> {
  const subject = await bench.start(SubjectKind.Router, size)
  try {
    return await run(subject)
  } finally {
    subject.stop()
  }
}

/** Measures numbers of concurrent streams of the same token rate; the cost is that of all requests sent. */
async function measureConnections (bench: Bench): Promise<Figure[]> {
  const points = await measureOnRouter(bench, SMALL_SIZE, async subject => {
    const measured: Point[] = []
    for (const size of [20, 80, 320]) {
      const tokens = SECONDS * 1000 / TOKEN_INTERVAL_MS
      const { cpuMsPerRequest, sent } = await subject.load({ requestsPerSecond: size / SECONDS, seconds: SECONDS, tokens, promptTokens: 256 })
      measured.push({ size, cpuMs: cpuMsPerRequest * sent })
    }
    return measured
  })
  return growthFigures('connections streaming at once', 'ms in all', points)
}

async function measureSizes (bench: Bench, name: string, sizes: readonly SpeedSize[], sizeOf: (size: SpeedSize) => number): Promise<Figure[]> {
  const points: Point[] = []
  const idle: Figure[] = []
  for (const size of sizes) {
    await measureOnRouter(bench, size, async subject => {
      points.push({ size: sizeOf(size), cpuMs: (await subject.load(BASE)).cpuMsPerRequest })
      idle.push(createFigure(`${name}: ${sizeOf(size)}, idle`, [subject.idleCpuMs], 'ms a second'))
    })
  }
  return [...growthFigures(name, 'ms a request', points), ...idle]
}

async function measurePrompts (bench: Bench): Promise<Figure[]> {
  const bare = await bench.start(SubjectKind.PassThrough)
  const figures = await measureOnRouter(bench, SMALL_SIZE, async subject => {
    const points: Point[] = []
    const stops: Figure[] = []
    for (const promptTokens of [1024, 8192, 65_536]) {
      const load = { ...BASE, requestsPerSecond: 20, promptTokens }
      const { cpuMsPerRequest, usage } = await subject.load(load)
      points.push({ size: promptTokens, cpuMs: cpuMsPerRequest })
      const bareStop = (await bare.load(load)).usage.longestBlockMs
      stops.push(
        createFigure(`longest stop of the event loop, prompts of ${promptTokens} tokens`, [usage.longestBlockMs], 'ms', TARGET_STOP_MS),
        createFigure('pass-through: the same', [bareStop], 'ms'))
    }
    return [...growthFigures('prompt tokens', 'ms a request', points), ...stops]
  })
  bare.stop()
  return figures
}

/** Measures the hashing of prompts alone, in this process. */
function measureHashing (): Figure[] {
  return [65_536, 262_144].map(tokens => {
    const messages = [{ role: 'system', content: 'feed '.repeat(Math.ceil(tokens * CHARACTERS_PER_TOKEN / 5)) }]
    const times = Array.from({ length: HASHING_RUNS }, () => {
      const startedAt = performance.now()
      createChatPrompt(messages)
      return performance.now() - startedAt
    })
    return createFigure(`hashing a prompt of ${tokens} tokens`, times, 'ms', TARGET_STOP_MS)
  })
}

export async function measureGrowth (bench: Bench): Promise<Figure[]> {
  const workers = [6, 67, 670].map(count => ({ ...SMALL_SIZE, workers: count }))
  const accounts = [8, 170, 1700].map(count => ({ ...SMALL_SIZE, accounts: count }))
  return [
    ...await measureConnections(bench),
    ...await measureSizes(bench, 'workers', workers, size => size.workers),
    ...await measureSizes(bench, 'client accounts', accounts, size => size.accounts),
    ...await measurePrompts(bench),
    ...measureHashing()
  ]
}
