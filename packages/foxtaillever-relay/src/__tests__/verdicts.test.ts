/**
 * Backend servers answer incorrectly in every modelled way, in random order, on
 * reused connections. An oracle that knows which requests ran checks the answers
 * that callers got. RELAY_FUZZ_RUNS sets the number of runs; the default is small.
 */
import fc from 'fast-check'
import { describe, it } from 'foxtaillever-testing'
import { Repeatability, type Route } from '../model/routing.js'
import { bodyOf, EVENT_COUNT, respondAs, runsRequest, ServerBehaviour } from '../__fixtures__/serverBehaviour.js'
import { RelayRig } from '../__fixtures__/relayRig.js'

const RUNS = Number(process.env['RELAY_FUZZ_RUNS'] ?? 40)
const SEED = Number(process.env['RELAY_FUZZ_SEED'] ?? 11)

interface Scenario {
  readonly route: Partial<Route>
  readonly behaviours: readonly ServerBehaviour[]
  readonly requests: number
}

const routes: ReadonlyArray<Partial<Route>> = [
  { repeatability: Repeatability.Once },
  { repeatability: Repeatability.Idempotent, mostAttempts: 3 },
  { isStream: true },
  { isStream: true, isResumable: true, mostAttempts: 3 }
]

const scenarios: fc.Arbitrary<Scenario> = fc.record({
  route: fc.constantFrom(...routes),
  behaviours: fc.array(fc.constantFrom(...Object.values(ServerBehaviour)), { minLength: 1, maxLength: 12 }),
  requests: fc.integer({ min: 1, max: 4 })
})

/** Turns of the event loop before the clock advances; sockets on loopback need a few. */
const TURNS_PER_STEP = 40

/** Waits for an answer, and advances the clock when nothing else happens. */
async function waitFor (rig: RelayRig, answer: Promise<string>): Promise<string> {
  const settled: string[] = []
  answer.then(text => settled.push(text), () => settled.push(''))
  for (let turn = 1; settled.length === 0; turn++) {
    await new Promise<void>(resolve => setImmediate(resolve))
    if (turn % TURNS_PER_STEP === 0) {
      await rig.clock.advanceBy(20)
    }
  }
  return settled[0] ?? ''
}

const notRunStatuses = new Set(['408', '421', '429', '503'])

/** Compares the answer that a caller got with the number of runs; returns what is wrong. */
function findViolation (id: string, answer: string, runs: number, route: Partial<Route>): string | undefined {
  const status = answer.slice(9, 12)
  const isOnce = route.repeatability !== Repeatability.Idempotent && route.isResumable !== true
  if (isOnce && runs > 1) {
    return `ran ${runs} times`
  }
  if (notRunStatuses.has(status) && runs > 0) {
    return `was promised by ${status} not to have run`
  }
  if (status !== '200') {
    return undefined
  }
  return route.isStream === true ? checkStreamAnswer(answer, id) : checkPlainAnswer(answer, id)
}

function checkPlainAnswer (answer: string, id: string): string | undefined {
  const [head = '', body = ''] = answer.split('\r\n\r\n')
  const length = Number(/^content-length: (\d+)/im.exec(head)?.[1] ?? -1)
  return body === bodyOf({ id }) || body.length < length ? undefined : `got ${JSON.stringify(answer)}`
}

/** A stream may end early as long as it does not look complete. */
function checkStreamAnswer (answer: string, id: string): string | undefined {
  const isComplete = answer.endsWith('\r\n0\r\n\r\n')
  const ids = [...answer.matchAll(/^id: (\d+)\n/gm)].map(([, number]) => Number(number))
  const isInOrder = ids.every((number, index) => number === index + 1)
  const isAnswerOfPlain = answer.endsWith(bodyOf({ id }))
  const isWhole = !isComplete || ids.length === EVENT_COUNT
  return (isInOrder && isWhole) || isAnswerOfPlain ? undefined : `got ${JSON.stringify(answer)}`
}

async function runScenario ({ route, behaviours, requests }: Scenario): Promise<string | undefined> {
  let next = 0
  const runs = new Map<string, number>()
  const answer = (arrival: Parameters<typeof respondAs>[2]): void => {
    const behaviour = behaviours[next++ % behaviours.length] as ServerBehaviour
    if (runsRequest(behaviour)) {
      runs.set(arrival.id, (runs.get(arrival.id) ?? 0) + 1)
    }
    respondAs(behaviour, route.isStream === true, arrival)
  }
  const rig = await RelayRig.start(route, answer, answer, answer)
  try {
    for (let number = 0; number < requests; number++) {
      const id = `r${number}`
      const wrong = findViolation(id, await waitFor(rig, rig.sendRequest(id, id)), runs.get(id) ?? 0, route)
      if (wrong !== undefined) {
        return `${id} ${wrong}`
      }
    }
    return undefined
  } finally {
    rig.stop()
  }
}

describe('answers to callers', () => {
  // A server answers twice, late, incompletely, for another request, or not at
  // all. A caller that gets a false answer orders twice or never.
  it('are true whatever backend servers do', async t => {
    t.timeout(110_000)
    await fc.assert(fc.asyncProperty(scenarios, async scenario => {
      const wrong = await runScenario(scenario)
      if (wrong !== undefined) {
        throw new Error(wrong)
      }
    }), { seed: SEED, numRuns: RUNS, includeErrorInReport: true })
    t.pass()
  })
})
