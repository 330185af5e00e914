/** Faults of a stand-in engine, switched at run time. */
export interface EngineFaults {
  /** A prompt that holds this text crashes the engine that runs it; empty for none. */
  poisonMarker: string
  /** How many times slower each step is; 1 for none. */
  slowFactor: number
  /** Nothing moves, yet connections stay open. */
  frozen: boolean
  /** The next streams that are cut after some tokens; the engine keeps them for a resume. */
  cutStreams: number
  /** Tokens after which a stream is cut. */
  cutAfterTokens: number
  /** Share of cache events that are lost, 0 to 1. */
  lostEventShare: number
  eventLagMs: number
  loadLagMs: number
  /** How long a crashed engine is away before it comes back empty, milliseconds. */
  restartMs: number
}

export function createEngineFaults (eventLagMs = 0, loadLagMs = 0): EngineFaults {
  return {
    poisonMarker: '',
    slowFactor: 1,
    frozen: false,
    cutStreams: 0,
    cutAfterTokens: 2,
    lostEventShare: 0,
    eventLagMs,
    loadLagMs,
    restartMs: 0
  }
}
