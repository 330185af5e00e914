import { writeFile } from 'node:fs/promises'
import { Command, Option } from 'clipanion'
import { createRandom } from '../workload/createRandom.js'
import { Bench } from '../speed/bench.js'
import { formatFigure, isMet, type Figure } from '../speed/figure.js'
import { measureCost } from '../speed/measureCost.js'
import { measureGrowth } from '../speed/measureGrowth.js'

type Measurement = (bench: Bench) => Promise<Figure[]>

export class SpeedCommand extends Command {
  static override paths = [['speed']]
  static override usage = Command.Usage({
    description: 'Measure the router\'s own cost against a bare pass-through.',
    details: 'Router, pass-through and upstream run in processes of their own on loopback and take turns. Exit codes: 0 every target met, 1 a target missed, 2 settings refused.'
  })

  seed = Option.String('--seed', '1', { description: 'Seed of the arrivals.' })
  only = Option.String('--only', { description: 'Measure only cost, or only growth.' })
  json = Option.String('--json', { description: 'Write the figures to this file.' })

  async execute (): Promise<number> {
    const measurements: Record<string, Measurement> = { cost: measureCost, growth: measureGrowth }
    const chosen = this.only === undefined ? Object.values(measurements) : [measurements[this.only]]
    const seed = Number(this.seed)
    if (chosen.includes(undefined) || !Number.isInteger(seed)) {
      this.context.stderr.write('--only is cost or growth, --seed a whole number.\n')
      return 2
    }
    const figures = await this.measureAll(seed, chosen as Measurement[])
    if (this.json !== undefined) {
      await writeFile(this.json, JSON.stringify(figures, null, 2) + '\n')
    }
    return figures.some(figure => isMet(figure) === false) ? 1 : 0
  }

  private async measureAll (seed: number, measurements: readonly Measurement[]): Promise<Figure[]> {
    const bench = await Bench.create(createRandom(seed))
    const figures: Figure[] = []
    try {
      for (const measure of measurements) {
        const measured = await measure(bench)
        measured.forEach(figure => this.context.stdout.write(formatFigure(figure) + '\n'))
        figures.push(...measured)
      }
    } finally {
      bench.stop()
    }
    return figures
  }
}
