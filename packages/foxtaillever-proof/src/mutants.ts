/** `npm run mutants`: switches each safeguard off and shows what notices. */
import { mutants, runMutant } from './fuzz/mutants.js'

let missed = 0
for (const mutant of mutants) {
  const { failure, runs } = await runMutant(mutant)
  const isCaught = failure.includes(mutant.broken)
  missed += isCaught ? 0 : 1
  console.log(`${mutant.safeguard}: seed ${mutant.seed}, ${runs} runs with shrinking, ${isCaught ? `caught as ${mutant.broken}` : `not caught as ${mutant.broken}`}`)
  console.log(failure === '' ? 'nothing found' : failure)
}
process.exitCode = missed === 0 ? 0 : 1
