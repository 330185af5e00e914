/** `npm run fuzz -- --seed S --runs N`, `npm run fuzz -- quota`, `server-limits`, `server-statements`, `admission`, `links`, `retries`, `stream-versions` and `crashes`: exits 1 when a promise was broken. */
import { Cli, Command, Option } from 'clipanion'
import { AdmissionHistory } from 'foxtaillever-relay/admission/__fixtures__/admissionHistory'
import { quotas, serverLimits, type LimitSubject } from 'foxtaillever-relay/limits/__fixtures__/limitFleet'
import { LimitHistory, type LimitReport } from 'foxtaillever-relay/limits/__fixtures__/limitHistory'
import { LinkHistory } from 'foxtaillever-relay/links/__fixtures__/linkHistory'
import { Disturbance, drawnFleets, RetryHistory, type DrawnFleet, type RetryReport } from 'foxtaillever-policy/relay/__fixtures__/retryHistory'
import { StreamVersionHistory } from 'foxtaillever-relay/streams/__fixtures__/streamVersionHistory'
import { CrashHistory, OtherTrouble, smallFleet } from 'foxtaillever-relay/crashes/__fixtures__/crashHistory'
import { FleetStatementHistory } from 'foxtaillever-relay/servers/__fixtures__/fleetStatementHistory'
import { StatementHistory } from 'foxtaillever-relay/servers/__fixtures__/statementHistory'
import { runFuzz } from './fuzz/runFuzz.js'

const PROGRESS_RUNS = 500

class FuzzCommand extends Command {
  static override paths = [Command.Default]
  static override usage = Command.Usage({ description: 'Fuzz the router against an oracle under a virtual clock.' })

  seed = Option.String('--seed', '1', { description: 'Seed of the campaign.' })
  runs = Option.String('--runs', '1000', { description: 'Number of runs of the small deployment.' })
  replayFrom = Option.String('--path', { description: 'Path printed with a failure, to replay it.' })
  replayPath = Option.String('--replay-path', { description: 'Replay path printed with a failure.' })

  async execute (): Promise<number> {
    const report = await runFuzz({
      seed: Number(this.seed),
      runs: Number(this.runs),
      path: this.replayFrom,
      replayPath: this.replayPath,
      onRun: runs => runs % PROGRESS_RUNS === 0 && console.error(`${runs} runs`)
    })
    console.log(JSON.stringify({ ...report, failure: report.failure === '' ? 'none' : 'see below' }))
    console.log(report.failure)
    return report.failure === '' ? 0 : 1
  }
}

/** Numbers of instances; histories use them in turn. */
const LIMIT_SIZES = [8, 30, 70, 195]

/** The kind of limit by the command's path. */
const limitSubjects: Readonly<Record<string, LimitSubject>> = { quota: quotas, 'server-limits': serverLimits }

/** Plays drawn histories, one for each seed. */
abstract class HistoriesCommand extends Command {
  seed = Option.String('--seed', '1', { description: 'Seed of the first history; the next ones follow.' })
  runs = Option.String('--runs', '300', { description: 'Number of histories.' })

  protected seeds (): number[] {
    return Array.from({ length: Number(this.runs) }, (_, index) => Number(this.seed) + index)
  }
}

/** Histories of which each report has the worst use of a limit or budget, as a share of what it allows. */
abstract class WorstUseCommand extends HistoriesCommand {
  protected abstract play (seed: number): Promise<{ readonly worst: number }>

  async execute (): Promise<number> {
    let worst = 0
    for (const seed of this.seeds()) {
      const report = await this.play(seed)
      worst = Math.max(worst, report.worst)
      if (report.worst > 1) {
        console.log(JSON.stringify(report))
      }
    }
    console.log(JSON.stringify({ runs: Number(this.runs), worst }))
    return worst > 1 ? 1 : 0
  }
}

class LimitsCommand extends WorstUseCommand {
  static override paths = Object.keys(limitSubjects).map(name => [name])
  static override usage = Command.Usage({ description: 'Draw histories of a fleet that shares limits, and check every window against an oracle.' })

  protected async play (seed: number): Promise<LimitReport> {
    return await LimitHistory.play(seed, LIMIT_SIZES[seed % LIMIT_SIZES.length] as number, limitSubjects[this.path[0] ?? ''])
  }
}

class RetriesCommand extends WorstUseCommand {
  static override paths = [['retries']]
  static override usage = Command.Usage({ description: 'Draw histories of a fleet that is killed, replaced and enlarged while requests fail, and check the retry budget in every window.' })

  protected async play (seed: number): Promise<RetryReport> {
    return RetryHistory.play({ ...drawnFleets[seed % drawnFleets.length] as DrawnFleet, seed, disturbances: Object.values(Disturbance) })
  }
}

/** What one history broke, each as a sentence, and what it counted. */
interface HistoryReport {
  readonly violations: readonly string[]
  readonly counts?: Readonly<Record<string, number>>
}

/** Histories of which each report names what was broken. */
abstract class ViolationsCommand extends HistoriesCommand {
  protected abstract play (seed: number): Promise<HistoryReport>

  async execute (): Promise<number> {
    let broken = 0
    const sums: Record<string, number> = {}
    for (const seed of this.seeds()) {
      const { violations, counts = {} } = await this.play(seed)
      broken += violations.length
      Object.entries(counts).forEach(([name, count]) => { sums[name] = (sums[name] ?? 0) + count })
      violations.forEach(violation => console.log(`seed ${seed}: ${violation}`))
    }
    console.log(JSON.stringify({ runs: Number(this.runs), broken, ...sums }))
    return broken > 0 ? 1 : 0
  }
}

/** Requests a second with each level that crashes servers, and how many such levels; histories use them in turn. */
const CRASHING_RATES = [0.2, 1, 4, 15]
const CRASHING_LEVELS = [0, 1, 1, 2]

/** Requests with a level that may reach servers later than users allow. */
const MAX_SENT_LATE = 3

class CrashesCommand extends ViolationsCommand {
  static override paths = [['crashes']]
  static override usage = Command.Usage({ description: 'Draw histories of levels of prompts that crash servers, beside crashes for other reasons, and check which levels are refused and how soon.' })

  protected async play (seed: number): Promise<HistoryReport> {
    const crashingLevels = CRASHING_LEVELS[seed % CRASHING_LEVELS.length] as number
    const crashingPerS = CRASHING_RATES[Math.floor(seed / CRASHING_LEVELS.length) % CRASHING_RATES.length] as number
    const { violations, crashes, sentLate, counts } = await CrashHistory.play({ ...smallFleet, seed, crashingPerS, crashingLevels, troubles: crashingLevels === 0 ? Object.values(OtherTrouble) : [] })
    return {
      violations: [...violations, ...(sentLate > MAX_SENT_LATE ? [`${sentLate} requests with a level were sent late`] : [])],
      counts: { crashes: crashes.reduce((sum, count) => sum + count, 0), levels: crashingLevels, begunLate: counts.begunLate, askedLate: counts.askedLate, deniedTrials: counts.deniedTrials, sound: counts.sound }
    }
  }
}

class StatementsCommand extends ViolationsCommand {
  static override paths = [['server-statements']]
  static override usage = Command.Usage({ description: 'Draw histories of servers that state that they are leaving or backing off, and count the requests that reach them.' })

  protected async play (seed: number): Promise<HistoryReport> {
    return { violations: [...await StatementHistory.play(seed), ...await FleetStatementHistory.play(seed)] }
  }
}

class LinksCommand extends ViolationsCommand {
  static override paths = [['links']]
  static override usage = Command.Usage({ description: 'Draw histories of instances whose links to servers break and return, and check what they conclude about the servers.' })

  protected async play (seed: number): Promise<HistoryReport> {
    return { violations: await LinkHistory.play(seed) }
  }
}

class StreamVersionsCommand extends ViolationsCommand {
  static override paths = [['stream-versions']]
  static override usage = Command.Usage({ description: 'Draw histories of streams that are taken up at other instances while several software versions serve, and check where they go on.' })

  protected async play (seed: number): Promise<HistoryReport> {
    const { violations, ...counts } = await StreamVersionHistory.play(seed)
    return { violations, counts }
  }
}

class AdmissionCommand extends HistoriesCommand {
  static override paths = [['admission']]
  static override usage = Command.Usage({ description: 'Draw histories of a fleet that admits requests at backend servers, and check what reaches the servers against an oracle.' })

  async execute (): Promise<number> {
    let broken = 0
    let requests = 0
    let worstExcess = -Infinity
    for (const seed of this.seeds()) {
      const report = await AdmissionHistory.play(seed)
      broken += report.violations.length
      requests += report.requests
      worstExcess = Math.max(worstExcess, report.worstExcess)
      report.violations.forEach(violation => console.log(`seed ${seed}: ${violation}`))
    }
    console.log(JSON.stringify({ runs: Number(this.runs), requests, broken, worstExcess }))
    return broken > 0 ? 1 : 0
  }
}

await Cli.from([FuzzCommand, RetriesCommand, StreamVersionsCommand, CrashesCommand, LimitsCommand, StatementsCommand, AdmissionCommand, LinksCommand], { binaryName: 'npm run fuzz --' }).runExit(process.argv.slice(2))
