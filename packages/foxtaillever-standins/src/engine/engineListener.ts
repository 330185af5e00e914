/** Handles batch events for a stand-in engine: publishes cache events, counts runs, injects faults. */
import type { CacheIdentity, StreamStart } from 'foxtaillever-core'
import { CacheEventKind, Failure, FailureCode, Verdict } from 'foxtaillever-core'
import type { BatchListener } from './batch.js'
import type { CacheEventFeed } from './cacheEventFeed.js'
import type { EngineFaults } from './engineFaults.js'
import { silentSink, type Generation, type Stream } from './generation.js'
import type { RunCounts } from './runCounts.js'

export interface EngineParts {
  readonly events: CacheEventFeed
  readonly faults: EngineFaults
  readonly counts: RunCounts
  readonly identityOf: (generation: Generation | undefined) => CacheIdentity
  readonly startOf: (stream: Stream, cachedTokens: number) => StreamStart
  readonly finish: (stream: Stream) => void
  readonly crash: () => void
  readonly changed: () => void
}

export class EngineListener implements BatchListener {
  private constructor (private readonly parts: EngineParts) {}

  static create (parts: EngineParts): EngineListener {
    return new EngineListener(parts)
  }

  started (stream: Stream, cachedTokens: number): StreamStart {
    this.parts.counts.add(stream.generation.requestId, stream.generation.idempotencyKey)
    return this.parts.startOf(stream, cachedTokens)
  }

  stored (stream: Stream, blocks: readonly string[]): void {
    if (blocks.length > 0) {
      const identity = this.parts.identityOf(stream.generation)
      this.parts.events.publish({ kind: CacheEventKind.Stored, identity, requestId: stream.generation.requestId, blocks })
    }
  }

  evicted (blocks: readonly string[]): void {
    this.parts.events.publish({ kind: CacheEventKind.Evicted, identity: this.parts.identityOf(undefined), requestId: '', blocks })
  }

  /** Cuts the connection of a stream if that fault is set; the stream keeps running. */
  produced (stream: Stream): void {
    const { faults } = this.parts
    const isDue = stream.produced - stream.generation.continueAfter === faults.cutAfterTokens
    if (faults.cutStreams === 0 || !isDue || stream.sink === silentSink) {
      return
    }
    faults.cutStreams -= 1
    const { sink } = stream
    stream.sink = silentSink
    sink.failed(Failure.create(FailureCode.ConnectionLost, Verdict.MayHaveRun, 'The connection was cut.'))
  }

  finished (stream: Stream): void {
    this.parts.finish(stream)
  }

  /** Crashes on a poisoned prompt. */
  stepped (streams: readonly Stream[]): boolean {
    this.parts.changed()
    const { poisonMarker } = this.parts.faults
    if (poisonMarker === '' || !streams.some(stream => stream.generation.prompt.includes(poisonMarker))) {
      return false
    }
    this.parts.crash()
    return true
  }
}
