/** Starts the processes of a speed measurement and measures segments of load on them. */
import type { Random } from 'foxtaillever-core'
import { createHistogram, percentileMs } from '../results/summarize.js'
import { sendStreams, type StreamLoad } from './sendStreams.js'
import { SMALL_SIZE, type SpeedSize } from './speedShape.js'
import { SubjectKind, type Usage } from './subject.js'
import { SubjectProcess } from './subjectProcess.js'

export interface Segment {
  readonly usage: Usage
  /** Processor time of the subject for one request, without its idle cost, milliseconds. */
  readonly cpuMsPerRequest: number
  readonly firstTokenP50Ms: number
  readonly firstTokenP99Ms: number
  readonly sent: number
  readonly failed: number
}

export type SegmentLoad = Pick<StreamLoad, 'requestsPerSecond' | 'seconds' | 'tokens' | 'promptTokens'>

/** Idle time measured before the load, seconds. */
const IDLE_SECONDS = 1.5

/** Requests sent before anything is measured, so that the code is compiled. */
const WARM_UP: SegmentLoad = { requestsPerSecond: 250, seconds: 8, tokens: 16, promptTokens: 1024 }

export class Bench {
  private constructor (private readonly random: Random, readonly upstream: SubjectProcess) {}

  static async create (random: Random): Promise<Bench> {
    return new Bench(random, await SubjectProcess.start({ kind: SubjectKind.Upstream, upstream: '', ...SMALL_SIZE }))
  }

  /** Starts a subject, warms it up and measures its idle processor time. */
  async start (kind: SubjectKind, size: SpeedSize = SMALL_SIZE): Promise<Subject> {
    const process = await SubjectProcess.start({ kind, upstream: this.upstream.address, ...size })
    const subject = new Subject(process, size, this.random)
    await subject.load(WARM_UP)
    await subject.measureIdle()
    return subject
  }

  stop (): void {
    this.upstream.stop()
  }
}

export class Subject {
  /** Processor time without requests, milliseconds per second. */
  idleCpuMs = 0

  constructor (private readonly process: SubjectProcess, private readonly size: SpeedSize, private readonly random: Random) {}

  async measureIdle (): Promise<void> {
    await this.process.measure()
    await new Promise(resolve => setTimeout(resolve, IDLE_SECONDS * 1000))
    this.idleCpuMs = (await this.process.measure()).cpuMs / IDLE_SECONDS
  }

  async load (load: SegmentLoad): Promise<Segment> {
    await this.process.measure()
    const startedAt = performance.now()
    const times = await sendStreams({ ...load, address: this.process.address, random: this.random, accounts: this.size.accounts })
    const seconds = (performance.now() - startedAt) / 1000
    const usage = await this.process.measure()
    const histogram = createHistogram(times.firstTokenMs)
    return {
      usage,
      cpuMsPerRequest: Math.max(0, usage.cpuMs - this.idleCpuMs * seconds) / Math.max(1, times.sent),
      firstTokenP50Ms: percentileMs(histogram, 50),
      firstTokenP99Ms: percentileMs(histogram, 99),
      sent: times.sent,
      failed: times.failed
    }
  }

  stop (): void {
    this.process.stop()
  }
}
