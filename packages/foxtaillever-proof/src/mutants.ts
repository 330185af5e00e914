/** `npm run mutants`: switches each safeguard off in turn and shows which promise the fuzzer finds broken. */
import { findCaughtPromise, mutants, runMutant } from './fuzz/mutants.js'

let missed = 0
for (const mutant of mutants) {
  const report = await runMutant(mutant)
  const { failure, runs } = report
  const caught = findCaughtPromise(mutant, report)
  missed += caught === undefined ? 1 : 0
  console.log(`${mutant.safeguard}: seed ${mutant.seed}, ${runs} runs with shrinking, ${caught === undefined ? `not caught as ${mutant.broken.join(' or ')}` : `caught as ${caught}`}`)
  console.log(failure === '' ? 'nothing found' : failure)
}
process.exitCode = missed === 0 ? 0 : 1
