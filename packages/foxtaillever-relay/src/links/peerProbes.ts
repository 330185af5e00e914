/** Asks other instances whether they reach a server that this one does not. */
import type { Clock } from 'foxtaillever-core'
import type { KnownServer } from '../servers/knownServer.js'

/** What one instance finds out about another one's link to a server. */
export enum ProbeFinding {
  /** It reaches the server. */
  Reached = 'reached',
  /** It does not reach the server, but others. */
  NotReached = 'not-reached',
  /** It reaches no servers itself, or does not know the server. */
  Unknown = 'unknown'
}

export interface PeerProbes {
  readonly clock: Clock
  /** Addresses of other instances that reach the servers as far as is known, in random order. */
  readonly peers: () => readonly string[]
  /** Asks another instance to probe the server; never rejects. */
  readonly probeThrough: (peer: string, server: KnownServer, deadline: number) => Promise<ProbeFinding>
}

/** Instances that are asked. */
const PROBING_PEERS = 2

/** Longest wait for their findings, milliseconds: that of their own probe and the way there and back. */
export const FINDING_TIMEOUT_MS = 310

/** Resolves with the first finding that the server is reached, or with all. */
export async function askPeers ({ clock, peers, probeThrough }: PeerProbes, server: KnownServer): Promise<readonly ProbeFinding[]> {
  const deadline = clock.now() + FINDING_TIMEOUT_MS
  const calls = peers().slice(0, PROBING_PEERS).map(async peer => await probeThrough(peer, server, deadline))
  return await firstOrAll(calls, finding => finding === ProbeFinding.Reached)
}

/** What the findings of other instances say of this one's link; undefined where none could tell. */
export function isOwnLink (findings: readonly ProbeFinding[]): boolean | undefined {
  if (findings.includes(ProbeFinding.Reached)) {
    return true
  }
  return findings.includes(ProbeFinding.NotReached) ? false : undefined
}

/** Resolves with the first probe that is answered, or when all have failed. */
export async function isAnyReached (probes: ReadonlyArray<Promise<boolean>>): Promise<boolean> {
  return (await firstOrAll(probes, isReached => isReached)).includes(true)
}

/** Resolves with the first decisive result alone, or with all; with none where a call rejects. */
async function firstOrAll<Result> (calls: ReadonlyArray<Promise<Result>>, isDecisive: (result: Result) => boolean): Promise<readonly Result[]> {
  return await new Promise(resolve => {
    calls.forEach(call => call.then(result => isDecisive(result) && resolve([result]), () => {}))
    Promise.all(calls).then(resolve, () => resolve([]))
  })
}
