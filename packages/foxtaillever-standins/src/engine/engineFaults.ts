/** Faults of a stand-in engine that can be set at run time. */
export interface EngineFaults {
  /** A prompt that contains this text crashes the engine; empty for none. */
  poisonMarker: string
  /** Factor by which each step is slower; 1 for normal speed. */
  slowFactor: number
  /** The engine makes no progress, but connections stay open. */
  frozen: boolean
  /** How many of the next streams are cut after some tokens; the engine keeps them for a resume. */
  cutStreams: number
  /** Tokens after which a stream is cut. */
  cutAfterTokens: number
  /** Share of cache events that are lost, 0 to 1. */
  lostEventShare: number
  eventLagMs: number
  loadLagMs: number
  /** How long a crashed engine is down before it restarts empty, milliseconds. */
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
