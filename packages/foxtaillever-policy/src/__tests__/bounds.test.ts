import fc from 'fast-check'
import { createPreset, Failure, FailureCode, PresetName, PriorityClass, SeededRandom, Verdict, type Configuration } from 'foxtaillever-core'
import { describe, it } from 'foxtaillever-testing'
import { createTestConfiguration, MODEL } from '../__fixtures__/callers.js'
import type { Job } from '../job.js'
import { FairQueue } from '../order/fairQueue.js'
import type { WaitingJob } from '../order/waitingJob.js'
import { rankServers } from '../placement/rendezvous.js'
import { Scheduler } from '../scheduler.js'
import { compareServers } from '../servers/compareServers.js'
import { Server } from '../servers/server.js'
import { Standing } from '../servers/serverHealth.js'

const NOW = 1_000_000
const RUNS = { numRuns: 60, seed: 11 }
const classes = [PriorityClass.Priority, PriorityClass.Standard, PriorityClass.Bulk]

function createJob (id: string, changes: Partial<Job> = {}): Job {
  return {
    id, account: 'account-1', model: MODEL, priority: PriorityClass.Standard, idempotent: true, arrivedAt: NOW, deadline: NOW + 60_000, levels: [{ hash: 'prefix', tokens: 500 }, { hash: id, tokens: 600 }], promptTokens: 600, maxTokens: 16, fingerprint: id, ...changes
  }
}

function createWaitingJob (id: string, account: string, priority: PriorityClass, cost: number, weight: number): WaitingJob {
  return { job: createJob(id, { account, priority }), cost, decodeMs: cost, tokens: cost, weight, latestStart: Infinity, failedAt: [], attempts: 0, notBefore: 0, holdUntil: Infinity, gone: false, turn: 0, sequence: 0 }
}

function serveNext (queue: FairQueue): WaitingJob | undefined {
  const entry = queue.takeNext()
  if (entry) {
    queue.recordSent(entry)
  }
  queue.endPass()
  return entry
}

function createServers (count: number): Server[] {
  return Object.values(createTestConfiguration({ servers: count }).servers).map(configured => Server.create(configured))
}

describe('bounds', () => {
  describe('fair order', () => {
    it('serves backlogged accounts in proportion to their weights, within one largest job each', t => {
      const account = fc.record({ weight: fc.integer({ min: 1, max: 8 }), costs: fc.array(fc.integer({ min: 1, max: 50 }), { minLength: 200, maxLength: 200 }) })
      fc.assert(fc.property(fc.array(account, { minLength: 2, maxLength: 5 }), accounts => {
        const queue = FairQueue.create()
        accounts.forEach(({ weight, costs }, index) => costs.forEach((cost, job) => queue.add(createWaitingJob(`${index}-${job}`, `account-${index}`, PriorityClass.Standard, cost, weight))))
        const served = accounts.map(() => 0)
        for (let turn = 0; turn < 150; turn += 1) {
          const entry = serveNext(queue) as WaitingJob
          const index = Number(entry.job.account.split('-')[1])
          served[index] = (served[index] as number) + entry.cost
        }
        const perWeight = served.map((cost, index) => cost / (accounts[index]?.weight as number))
        const largest = 50
        return Math.max(...perWeight) - Math.min(...perWeight) <= 2 * largest
      }), RUNS)
      t.pass()
    })

    // Endless priority work would keep the other classes waiting until their
    // deadlines.
    it('gives the lower classes the floor while all wait, and hardly more', t => {
      fc.assert(fc.property(fc.double({ min: 0.05, max: 0.4, noNaN: true }), fc.array(fc.integer({ min: 1, max: 20 }), { minLength: 300, maxLength: 300 }), (floor, costs) => {
        const queue = FairQueue.create()
        queue.setFloorShare(floor)
        classes.forEach(priority => costs.forEach((cost, job) => queue.add(createWaitingJob(`${priority}-${job}`, 'account', priority, cost, 1))))
        const served = new Map(classes.map(priority => [priority, 0]))
        let total = 0
        for (let turn = 0; turn < 280; turn += 1) {
          const entry = serveNext(queue) as WaitingJob
          served.set(entry.job.priority, (served.get(entry.job.priority) as number) + entry.cost)
          total += entry.cost
        }
        const lower = total - (served.get(PriorityClass.Priority) as number)
        return Math.abs(lower - floor * total) <= 2 * 20 && (served.get(PriorityClass.Bulk) as number) >= floor * floor * total - 2 * 20
      }), RUNS)
      t.pass()
    })

    it('starves no account: every accepted job is served', t => {
      fc.assert(fc.property(fc.array(fc.tuple(fc.constantFrom(...classes), fc.integer({ min: 0, max: 4 }), fc.integer({ min: 1, max: 30 })), { maxLength: 80 }), jobs => {
        const queue = FairQueue.create()
        queue.setFloorShare(0.1)
        jobs.forEach(([priority, account, cost], index) => queue.add(createWaitingJob(String(index), `account-${account}`, priority, cost, 1)))
        const served = new Set(jobs.map(() => serveNext(queue)?.job.id))
        return served.size === jobs.length && queue.size === 0
      }), RUNS)
      t.pass()
    })
  })

  describe('ejected servers', () => {
    // The comparison with peers can be wrong. If most servers were ejected, the
    // remaining ones would be overloaded.
    it('are at most the configured share, whatever their answers', t => {
      fc.assert(fc.property(fc.array(fc.double({ min: 0.1, max: 1000, noNaN: true }), { minLength: 1, maxLength: 30 }), fc.double({ min: 0, max: 1, noNaN: true }), (ratios, share) => {
        const servers = createServers(ratios.length)
        for (let round = 0; round < 5; round += 1) {
          servers.forEach((server, index) => server.health.recordAnswer(100 * (ratios[index] as number), 100, NOW + round))
          compareServers(servers, { ejectedShare: share, instances: 1, now: NOW + round })
        }
        const ejected = servers.filter(({ health }) => health.standing === Standing.Ejected).length
        return ejected <= Math.floor(ratios.length * share)
      }), RUNS)
      t.pass()
    })
  })

  describe('retries', () => {
    // Every attempt fails. The servers must not get many more attempts than there
    // are requests.
    it('stay within the share of first attempts and the saved budget', t => {
      fc.assert(fc.property(fc.integer({ min: 1, max: 300 }), fc.double({ min: 0, max: 0.5, noNaN: true }), fc.integer({ min: 0, max: 1000 }), (count, retryShare, seed) => {
        const scheduler = Scheduler.create({ random: SeededRandom.create(seed), failureDomain: 'domain-1' })
        scheduler.configure(createTestConfiguration({ preset: { retryShare } }), NOW)
        let sends = 0
        const fail = (now: number): void => scheduler.tick(now).assignments.forEach(({ jobId }) => {
          sends += 1
          scheduler.recordFailure(jobId, Failure.notRun(FailureCode.ConnectionRefused, 'down'), now)
        })
        for (let index = 0; index < count; index += 1) {
          scheduler.submitJob(createJob(String(index)), NOW + index)
          fail(NOW + index)
        }
        for (let later = count; later < count + 5000; later += 50) {
          fail(NOW + later)
        }
        return sends <= count * (1 + retryShare) + 20
      }), RUNS)
      t.pass()
    })

    // A feed order whose connection broke may have been executed. A retry would
    // bill it twice.
    it('never happen to a non-idempotent job that may have run', t => {
      fc.assert(fc.property(fc.constantFrom(...Object.values(Verdict)), fc.boolean(), (verdict, idempotent) => {
        const scheduler = Scheduler.create({ random: SeededRandom.create(1), failureDomain: 'domain-1' })
        scheduler.configure(createTestConfiguration({}), NOW)
        scheduler.submitJob(createJob('one', { idempotent }), NOW)
        scheduler.tick(NOW)
        const outcome = scheduler.recordFailure('one', Failure.create(FailureCode.ConnectionLost, verdict, 'lost'), NOW + 1)
        return (outcome === 'retried') === (verdict === Verdict.NotRun || idempotent)
      }), RUNS)
      t.pass()
    })
  })

  describe('agreement', () => {
    it('ranks servers the same in any order, and removing a server moves only its own keys', t => {
      fc.assert(fc.property(fc.integer({ min: 0, max: 2 ** 32 - 1 }), fc.integer({ min: 2, max: 40 }), (key, count) => {
        const servers = createServers(count)
        const names = (among: readonly Server[], length: number): string[] => rankServers(key, among, length).map(({ name }) => name)
        const all = names(servers, count)
        const without = names(servers.filter(({ name }) => name !== all[0]), count)
        return names([...servers].reverse(), 3).join() === all.slice(0, 3).join() && without.join() === all.slice(1).join()
      }), RUNS)
      t.pass()
    })

    it('decides the same from the same calls', t => {
      const step = fc.tuple(fc.constantFrom('submit', 'finish', 'fail', 'tick', 'withdraw'), fc.integer({ min: 0, max: 40 }))
      fc.assert(fc.property(fc.array(step, { maxLength: 150 }), fc.integer({ min: 0, max: 1000 }), (steps, seed) => {
        const [first, second] = [1, 2].map(() => replaySteps(steps, seed))
        return first === second
      }), RUNS)
      t.pass()
    })

    it('counts as running exactly the jobs outstanding at servers', t => {
      const step = fc.tuple(fc.constantFrom('submit', 'finish', 'fail', 'tick', 'withdraw'), fc.integer({ min: 0, max: 40 }))
      fc.assert(fc.property(fc.array(step, { maxLength: 150 }), fc.integer({ min: 0, max: 1000 }), (steps, seed) => {
        const { running, waiting, outstanding } = (JSON.parse(replaySteps(steps, seed)) as { state: ReturnType<Scheduler['dump']> }).state
        return running >= 0 && waiting >= 0 && Object.values(outstanding).reduce((sum, count) => sum + count, 0) === running
      }), RUNS)
      t.pass()
    })
  })
})

/** Makes the calls on a new scheduler and returns its decisions and state as JSON. */
function replaySteps (steps: ReadonlyArray<[string, number]>, seed: number): string {
  const scheduler = Scheduler.create({ random: SeededRandom.create(seed), failureDomain: 'domain-1' })
  const configuration: Configuration = createTestConfiguration({ servers: 3 })
  scheduler.configure({ ...configuration, presets: { ...configuration.presets, [PresetName.OrdinaryDays]: createPreset(PresetName.OrdinaryDays) } }, NOW)
  const decisions: unknown[] = []
  steps.forEach(([kind, number], index) => {
    const now = NOW + index * 10
    const id = `job-${number}`
    const start = { streamId: '', incarnation: 'one', weightsVersion: 'v1', promptTokens: 600, cachedTokens: 0 }
    const actions: Record<string, () => unknown> = {
      submit: () => scheduler.submitJob(createJob(`job-${index}`), now).isRight(),
      finish: () => {
        scheduler.recordStart(id, start, now)
        scheduler.recordFirstToken(id, now)
        scheduler.recordFinish(id, { finishReason: 'stop', promptTokens: 600, cachedTokens: 0, completionTokens: 16 }, now)
      },
      fail: () => scheduler.recordFailure(id, Failure.notRun(FailureCode.ConnectionRefused, 'down'), now),
      tick: () => scheduler.tick(now),
      withdraw: () => scheduler.withdrawJob(id)
    }
    decisions.push(actions[kind]?.())
  })
  return JSON.stringify({ decisions, state: scheduler.dump() })
}
