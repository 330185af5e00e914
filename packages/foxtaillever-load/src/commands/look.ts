import { Command, Option } from 'clipanion'
import { shapes } from '../deployment/shape.js'
import { measureInspectionCost, type InspectionCost } from '../experiment/measureInspectionCost.js'

export class LookCommand extends Command {
  static override paths = [['look']]
  static override usage = Command.Usage({
    description: 'Measure what dumps and explanations under load cost callers.',
    details: 'Dumps and explains at every instance once a second in every other segment of the same load.'
  })

  shapeName = Option.String('--shape', 'sertaneja', { description: `One of ${Object.keys(shapes).join(', ')}.` })
  rate = Option.String('--rate', { description: 'Arrivals a second; the shape has its own.' })
  seconds = Option.String('--seconds', '10', { description: 'Length of one segment.' })
  pairs = Option.String('--pairs', '4', { description: 'Pairs of segments.' })
  seed = Option.String('--seed', '1', { description: 'Seed of everything that is drawn.' })

  async execute (): Promise<number> {
    const shape = shapes[this.shapeName]
    if (!shape) {
      this.context.stderr.write(`No shape ${this.shapeName}. Name one of ${Object.keys(shapes).join(', ')}.\n`)
      return 2
    }
    const cost = await measureInspectionCost({
      shape,
      seed: Number(this.seed),
      requestsPerSecond: Number(this.rate ?? shape.requestsPerSecond),
      seconds: Number(this.seconds),
      pairs: Number(this.pairs)
    })
    this.context.stdout.write(format(cost))
    return 0
  }
}

function format ({ quiet, lookedAt, dumps, explanations, largestDumpBytes }: InspectionCost): string {
  const row = (name: string, quietValue: number, inspectedValue: number): string => `${name.padEnd(24)}${quietValue.toFixed(1).padStart(10)}${inspectedValue.toFixed(1).padStart(12)}${((inspectedValue / quietValue - 1) * 100).toFixed(1).padStart(10)} %\n`
  return [
    `${''.padEnd(24)}${'quiet'.padStart(10)}${'looked at'.padStart(12)}${'change'.padStart(12)}\n`,
    row('answers complete', quiet.complete, lookedAt.complete),
    row('first token p50, ms', quiet.firstTokenP50Ms, lookedAt.firstTokenP50Ms),
    row('first token p95, ms', quiet.firstTokenP95Ms, lookedAt.firstTokenP95Ms),
    row('first token p99, ms', quiet.firstTokenP99Ms, lookedAt.firstTokenP99Ms),
    `${dumps} dumps of up to ${largestDumpBytes} bytes, ${explanations} explanations\n`
  ].join('')
}
