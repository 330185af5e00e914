/**
 * Chooses a backend server for a job. One handler for each placement policy;
 * the table is the only place that knows them all.
 */
import { hashNumber, PlacementPolicy, type Random } from 'foxtaillever-core'
import type { Candidate, Job } from './job.js'

/** What placement knows of one backend server. */
export interface ServerView {
  readonly name: string
  readonly slots: number
  /** Jobs sent there and not yet finished, as this instance knows. */
  readonly outstanding: number
}

export interface PlacementInput {
  readonly job: Job
  readonly servers: readonly ServerView[]
  readonly random: Random
  /** Counts placements of this instance. */
  readonly turn: number
}

type PlacementHandler = (input: PlacementInput) => Candidate[]

function rankByCost (input: PlacementInput, costOf: (server: ServerView, index: number) => number): Candidate[] {
  return input.servers
    .map((server, index) => ({ server: server.name, cost: costOf(server, index) }))
    .sort((one, other) => one.cost - other.cost)
}

/** Rendezvous: the same prefix ranks the servers the same way at every instance. */
function rankByPrefix (input: PlacementInput): Candidate[] {
  const level = input.job.levels[0]
  const key = `${input.job.account}/${input.job.model}/${level?.hash ?? ''}`
  return rankByCost(input, server => hashNumber(`${key}/${server.name}`))
}

const handlers: Record<PlacementPolicy, PlacementHandler> = {
  [PlacementPolicy.Random]: input => rankByCost(input, () => input.random.next()),
  [PlacementPolicy.RoundRobin]: input => rankByCost(input, (_, index) => (index - input.turn % input.servers.length + input.servers.length) % input.servers.length),
  [PlacementPolicy.LeastOutstanding]: input => rankByCost(input, server => server.outstanding + input.random.next() * 0.5),
  [PlacementPolicy.PrefixAffinity]: rankByPrefix,
  [PlacementPolicy.ExpectedFirstToken]: rankByPrefix
}

/** Ranks the servers for the job, best first. */
export function rankServers (policy: PlacementPolicy, input: PlacementInput): Candidate[] {
  return handlers[policy](input)
}
