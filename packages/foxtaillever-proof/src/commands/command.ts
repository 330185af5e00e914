/** Commands of the fuzzer: each is one action of a caller or operator, or one fault. */
import type fc from 'fast-check'
import type { World } from '../world/world.js'

/** The state that decides which commands can run; the oracle holds the rest. */
export interface Situation {
  readonly entries: Array<{ isUp: boolean, isPaused: boolean }>
  sentRequests: number
}

export type WorldCommand = fc.AsyncCommand<Situation, World, false>

/** Creates a command from its name, its effect and its condition. */
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
