/** Base of the commands run and compare: validates their options and writes results. */
import { mkdir, writeFile } from 'node:fs/promises'
import { dirname } from 'node:path'
import { Command, Option, UsageError } from 'clipanion'
import { PlacementPolicy, type Preset } from 'foxtaillever-core'
import type { Either } from 'purify-ts'
import { keyOf } from '../deployment/keyOf.js'
import { shapes, type Shape } from '../deployment/shape.js'
import type { ExperimentOptions, Progress } from '../experiment/runExperiment.js'
import { parseFault } from '../faults/fault.js'
import type { Results } from '../results/results.js'

export enum ExitCode {
  /** Every answer was complete or refused, and every promise was kept. */
  Kept = 0,
  /** An answer was failed, cut or wrong, or a promise was broken. */
  Broken = 1,
  /** The settings were invalid. */
  Usage = 2
}

export const EXIT_CODES = 'Exit codes: 0 every answer complete or refused and every promise kept, 1 an answer failed, cut or wrong or a promise broken, 2 settings refused.'

const LARGEST_RATE = 2000
const LARGEST_SECONDS = 3600

export abstract class ExperimentCommand extends Command {
  shapeName = Option.String('--shape', 'sertaneja', { description: `Workload and deployment: ${Object.keys(shapes).join(', ')}.` })
  seed = Option.String('--seed', '1', { description: 'Seed of everything that is drawn.' })
  rate = Option.String('--rate', { description: 'Arrivals a second; the shape has its own.' })
  workers = Option.String('--workers', { description: 'Engines; the shape has its own number.' })
  instances = Option.String('--instances', { description: 'Entry instances; the shape has its own number.' })
  mix = Option.String('--mix', { description: 'Shares of lookups, exports and long answers, such as 0.05,0.02,0.1.' })
  warmUp = Option.String('--warm-up', '3', { description: 'Seconds before the measured time.' })
  faults = Option.Array('--fault', [], { description: 'A fault at a time: "SECONDS TARGET NAME=VALUE ...", such as "5 worker-2 slowFactor=8".' })
  keyTemplate = Option.String('--key', { description: 'API key of an account, with {account} in it; for running processes.' })
  json = Option.String('--json', { description: 'Write the results to this file.' })
  html = Option.String('--html', { description: 'Write a report to this file.' })
  quiet = Option.Boolean('--quiet', false, { description: 'Print no progress.' })

  /** Executes the command; throws a UsageError for invalid settings. */
  protected abstract perform (): Promise<ExitCode>

  async execute (): Promise<number> {
    try {
      return await this.perform()
    } catch (error) {
      if (!(error instanceof UsageError)) {
        throw error
      }
      this.context.stderr.write(`${error.message}\n`)
      return ExitCode.Usage
    }
  }

  protected number (setting: string, text: string, smallest: number, largest: number): number {
    const value = Number(text)
    if (text.trim() === '' || !Number.isFinite(value) || value < smallest || value > largest) {
      throw new UsageError(`${setting} must be a number from ${smallest} to ${largest}, not "${text}".`)
    }
    return value
  }

  protected expect<Value> (read: Either<string, Value>): Value {
    return read.caseOf({
      Left: message => { throw new UsageError(message) },
      Right: value => value
    })
  }

  protected shape (): Shape {
    const shape = shapes[this.shapeName]
    if (!shape) {
      throw new UsageError(`No shape ${this.shapeName}. Name one of ${Object.keys(shapes).join(', ')}.`)
    }
    return {
      ...shape,
      ...(this.workers === undefined ? {} : { workers: this.number('--workers', this.workers, 1, 64) }),
      ...(this.instances === undefined ? {} : { instances: this.number('--instances', this.instances, 1, 32) }),
      ...this.readMix()
    }
  }

  private readMix (): Partial<Shape> {
    if (this.mix === undefined) {
      return {}
    }
    const [lookupShare = 0, exportShare = 0, longAnswerShare = 0] = this.mix.split(',').map(part => this.number('--mix', part, 0, 1))
    return { lookupShare, exportShare, longAnswerShare }
  }

  protected placement (name: string): Partial<Preset> {
    const policies = Object.values(PlacementPolicy)
    const placement = policies.find(policy => policy === name)
    if (!placement) {
      throw new UsageError(`No placement policy ${name}. Name one of ${policies.join(', ')}.`)
    }
    return { placement }
  }

  /** Options of an experiment that all variants share. */
  protected options (seconds: string): Omit<ExperimentOptions, 'variant' | 'preset' | 'targets'> {
    const shape = this.shape()
    const template = this.keyTemplate
    return {
      shape,
      seed: this.number('--seed', this.seed, 0, 2 ** 31),
      requestsPerSecond: this.rate === undefined ? shape.requestsPerSecond : this.number('--rate', this.rate, 0.1, LARGEST_RATE),
      seconds: this.number('--seconds', seconds, 1, LARGEST_SECONDS),
      warmUpSeconds: this.number('--warm-up', this.warmUp, 0, LARGEST_SECONDS),
      faults: this.faults.map(text => this.expect(parseFault(text))),
      keyOf: account => template === undefined ? keyOf(account) : template.replaceAll('{account}', account),
      onProgress: progress => this.report(progress)
    }
  }

  private report (progress: Progress): void {
    if (!this.quiet) {
      this.context.stderr.write(`${progress.second} s: ${progress.answered} of ${progress.arrivals} answered, ${progress.notComplete} not complete\n`)
    }
  }

  protected async write (results: unknown, report: string): Promise<void> {
    const files: ReadonlyArray<readonly [string | undefined, string]> = [
      [this.json, JSON.stringify(results, null, 2) + '\n'],
      [this.html, report]
    ]
    for (const [path, content] of files) {
      if (path !== undefined) {
        await mkdir(dirname(path), { recursive: true })
        await writeFile(path, content)
      }
    }
  }

  protected exitCode (runs: readonly Results[]): ExitCode {
    const isKept = runs.every(({ summary, promises }) =>
      summary.broken === 0 && summary.complete > 0 && Object.values(promises ?? {}).every(broken => broken === 0))
    return isKept ? ExitCode.Kept : ExitCode.Broken
  }
}
