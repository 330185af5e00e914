/**
 * The four baseline placement policies, in their usual simple form, as a fair
 * reference for measurements.
 */
import { hashNumber, PlacementPolicy, type Random } from 'foxtaillever-core'
import type { Candidate, Job } from '../job.js'
import type { Server } from '../servers/server.js'

export type Baseline = Exclude<PlacementPolicy, PlacementPolicy.ExpectedFirstToken>

export interface BaselineInput {
  readonly job: Job
  /** Servers with a free slot. */
  readonly servers: readonly Server[]
  readonly random: Random
  /** Placements made by this instance so far. */
  readonly placementCount: number
}

type BaselineCost = (input: BaselineInput, server: Server, index: number) => number

/** Rendezvous hashing: every instance ranks the servers for a prefix in the same order. */
function prefixCost ({ job }: BaselineInput, server: Server): number {
  const level = job.levels[0]
  return hashNumber(`${job.account}/${job.model}/${level?.hash ?? ''}/${server.name}`)
}

const costs: Record<Baseline, BaselineCost> = {
  [PlacementPolicy.Random]: input => input.random.next(),
  [PlacementPolicy.RoundRobin]: ({ placementCount: turn, servers }, _, index) => (index - turn % servers.length + servers.length) % servers.length,
  [PlacementPolicy.LeastOutstanding]: (input, server) => server.load.outstanding + input.random.next() * 0.5,
  [PlacementPolicy.PrefixAffinity]: prefixCost
}

/** Ranks the servers for the job, best first. */
export function rankByBaseline (baseline: Baseline, input: BaselineInput): Candidate[] {
  const costOf = costs[baseline]
  return input.servers
    .map((server, index) => ({ server: server.name, cost: costOf(input, server, index) }))
    .sort((a, b) => a.cost - b.cost)
}
