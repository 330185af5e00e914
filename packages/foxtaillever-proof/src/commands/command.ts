/** Commands of the fuzzer: each is one thing that callers, operators or faults do. */
import type fc from 'fast-check'
import type { World } from '../world/world.js'

/** What commands need to know beforehand; the oracle holds the rest. */
export interface Situation {
  readonly entries: Array<{ isUp: boolean, isPaused: boolean }>
  sendings: number
}

export type WorldCommand = fc.AsyncCommand<Situation, World, false>

/** A command from its name, its condition and its effect. */
export function createCommand (
  name: string,
  run: (world: World) => Promise<void> | void,
  update: (situation: Situation) => void = () => {},
  check: (situation: Readonly<Situation>) => boolean = () => true
): WorldCommand {
  return {
    check: situation => check(situation),
    run: async (situation, world) => {
      update(situation)
      await run(world)
      const violation = world.oracle.violations[0]
      if (violation) {
        throw new Error(`${violation.promise}: ${violation.detail}`)
      }
    },
    toString: () => name
  }
}
