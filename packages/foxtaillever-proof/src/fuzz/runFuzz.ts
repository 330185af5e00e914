/**
 * One fuzzing campaign: many short runs of a small deployment, each a sequence of
 * commands that fast-check draws from one seed. A failure is shrunk to the fewest
 * commands and can be replayed with its seed, path and replay path.
 */
import fc from 'fast-check'
import { allSafeguards, type Safeguards } from 'foxtaillever-router'
import { createCallerCommands, createOutliveLog, createTimeCommands } from '../commands/callerCommands.js'
import type { Situation, WorldCommand } from '../commands/command.js'
import { createEngineFaults, createEntryFaults, createLogFaults } from '../commands/faultCommands.js'
import { World } from '../world/world.js'

export interface FuzzOptions {
  readonly seed: number
  readonly runs: number
  readonly safeguards?: Safeguards
  readonly path?: string
  readonly replayPath?: string
  /** Whether a failure is only reported, not shrunk. */
  readonly endsOnFailure?: boolean
  /** Called after each run with the number of completed runs. */
  readonly onRun?: (runs: number) => void
}

export interface FuzzReport {
  readonly seed: number
  readonly runs: number
  readonly commands: number
  readonly checks: number
  readonly engineRuns: number
  readonly sendings: number
  readonly wholeAnswers: number
  /** Empty if no violation was found. */
  readonly failure: string
}

const ENTRIES = 3
const ENGINES = 3
const MAX_COMMANDS = 40

function createCommands (replayPath: string | undefined): fc.Arbitrary<Iterable<WorldCommand>> {
  const weigh = (weight: number, arbitraries: Array<fc.Arbitrary<WorldCommand>>) => arbitraries.map(arbitrary => ({ weight, arbitrary }))
  const mixed = fc.oneof(
    ...weigh(40, createCallerCommands(ENTRIES, ENGINES)),
    ...weigh(30, createTimeCommands()),
    ...weigh(8, createEntryFaults(ENTRIES)),
    ...weigh(10, createEngineFaults(ENGINES)),
    ...weigh(8, createLogFaults(ENTRIES)),
    ...weigh(2, [createOutliveLog()])
  )
  return fc.commands([mixed], { maxCommands: MAX_COMMANDS, replayPath, size: 'max' })
}

function createSituation (): Situation {
  return { entries: Array.from({ length: ENTRIES }, () => ({ isUp: true, isPaused: false })), sentRequests: 0 }
}

export async function runFuzz (options: FuzzOptions): Promise<FuzzReport> {
  const counts = { runs: 0, commands: 0, checks: 0, engineRuns: 0, sendings: 0, wholeAnswers: 0 }
  const property = fc.asyncProperty(fc.nat(), createCommands(options.replayPath), async (seed, commands) => {
    const world = await World.create({ seed, entries: ENTRIES, engines: ENGINES, safeguards: options.safeguards ?? allSafeguards })
    await fc.asyncModelRun(() => ({ model: createSituation(), real: world }), commands)
    await world.endFaultsAndCheck()
    const { oracle } = world
    counts.runs += 1
    counts.commands += [...commands].length
    counts.checks += oracle.checks
    counts.engineRuns += oracle.runs.length
    counts.sendings += oracle.sentRequests.length
    counts.wholeAnswers += oracle.sentRequests.filter(sentRequest => sentRequest.isWhole).length
    options.onRun?.(counts.runs)
    const violation = oracle.violations[0]
    if (violation) {
      throw new Error(`${violation.promise}: ${violation.detail}`)
    }
  })
  const details = await fc.check(property, { seed: options.seed, numRuns: options.runs, path: options.path, endOnFailure: options.endsOnFailure ?? false })
  return { seed: options.seed, ...counts, failure: details.failed ? `${String(details.errorInstance)}\n${fc.defaultReportMessage(details)}` : '' }
}
