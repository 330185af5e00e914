/**
 * Runs every test with ava, those of crowds of clients after the others, prints its report and ends with one plain line
 * `N passed, N failed` taken from that report. A test listed in KNOWN-RED.txt
 * may fail without failing the run; it is counted apart and printed.
 */
import { spawn } from 'node:child_process'
import { createInterface } from 'node:readline'
import { existsSync, readFileSync } from 'node:fs'

function loadKnownRed () {
  if (!existsSync('KNOWN-RED.txt')) {
    return []
  }
  return readFileSync('KNOWN-RED.txt', 'utf8')
    .split('\n')
    .filter(line => line !== '' && !line.startsWith('#'))
    .map(line => line.split(' | ')[0])
}

const knownRed = loadKnownRed()
const counts = { passed: 0, failed: 0, known: 0 }

/** Counts one line of the TAP report. */
function countLine (line) {
  const match = /^\s*(not )?ok \d+ - (.*)$/.exec(line)
  if (!match || /# (SKIP|TODO)/.test(line)) {
    return
  }
  if (!match[1]) {
    counts.passed += 1
  } else if (knownRed.some(title => match[2].includes(title))) {
    counts.known += 1
  } else {
    counts.failed += 1
  }
}

/** Returns the exit code. */
async function runTests (options) {
  const ava = spawn(process.execPath, ['node_modules/ava/entrypoints/cli.mjs', '--tap', ...options], { stdio: ['ignore', 'pipe', 'inherit'] })
  for await (const line of createInterface({ input: ava.stdout })) {
    countLine(line)
    console.log(line)
  }
  return ava.exitCode ?? await new Promise(resolve => ava.on('close', resolve))
}

/** A run that ended without a failed test of its own, such as one that could not start, counts as one failure. */
async function countRun (options) {
  const before = counts.failed + counts.known
  const status = await runTests(options)
  return status !== 0 && counts.failed + counts.known === before ? 1 : 0
}

const options = process.argv.slice(2)
let failedRuns = await countRun(options)
if (options.length === 0) {
  failedRuns += await countRun(['--config', 'ava.crowds.config.mjs'])
}
if (counts.known > 0) {
  console.log(`known red, passed over: ${counts.known} (see KNOWN-RED.txt)`)
}
const failed = counts.failed + failedRuns
console.log(`${counts.passed} passed, ${failed} failed`)
process.exit(failed === 0 && counts.passed > 0 ? 0 : 1)
