/**
 * Backend servers answer in every way that goes wrong, one after another, on
 * connections that are kept. An oracle that saw what ran checks what callers
 * were told. The number of runs is small unless RELAY_FUZZ_RUNS says otherwise.
 */
import fc from 'fast-check'
import { describe, it } from 'foxtaillever-testing'
import { Repeatability, type Route } from '../model/routing.js'
import { bodyOf, EVENTS, play, runsIt, Way } from '../__fixtures__/misbehaviour.js'
import { RelayRig } from '../__fixtures__/relayRig.js'

const RUNS = Number(process.env['RELAY_FUZZ_RUNS'] ?? 40)
const SEED = Number(process.env['RELAY_FUZZ_SEED'] ?? 11)

interface Story {
  readonly route: Partial<Route>
  readonly ways: readonly Way[]
  readonly requests: number
}

const routes: ReadonlyArray<Partial<Route>> = [
  { repeatability: Repeatability.Once },
  { repeatability: Repeatability.Idempotent, mostAttempts: 3 },
  { isStream: true },
  { isStream: true, isResumable: true, mostAttempts: 3 }
]

const story: fc.Arbitrary<Story> = fc.record({
  route: fc.constantFrom(...routes),
  ways: fc.array(fc.constantFrom(...Object.values(Way)), { minLength: 1, maxLength: 12 }),
  requests: fc.integer({ min: 1, max: 4 })
})

/** Turns of the event loop after which time goes on; sockets on loopback need a few. */
const TURNS = 40

/** Lets sockets go on, and time when nothing else happens. */
async function waitFor (rig: RelayRig, answer: Promise<string>): Promise<string> {
  const told: string[] = []
  answer.then(text => told.push(text), () => told.push(''))
  for (let turn = 1; told.length === 0; turn++) {
    await new Promise<void>(resolve => setImmediate(resolve))
    if (turn % TURNS === 0) {
      await rig.clock.advanceBy(20)
    }
  }
  return told[0] ?? ''
}

const promises = new Set(['408', '421', '429', '503'])

/** What a caller was told, against what ran; a text says what is wrong. */
function judge (id: string, answer: string, runs: number, route: Partial<Route>): string | undefined {
  const status = answer.slice(9, 12)
  const isOnce = route.repeatability !== Repeatability.Idempotent && route.isResumable !== true
  if (isOnce && runs > 1) {
    return `ran ${runs} times`
  }
  if (promises.has(status) && runs > 0) {
    return `was promised by ${status} not to have run`
  }
  if (status !== '200') {
    return undefined
  }
  return route.isStream === true ? judgeStream(answer, id) : judgePlain(answer, id)
}

function judgePlain (answer: string, id: string): string | undefined {
  const [head = '', body = ''] = answer.split('\r\n\r\n')
  const length = Number(/^content-length: (\d+)/im.exec(head)?.[1] ?? -1)
  return body === bodyOf({ id }) || body.length < length ? undefined : `got ${JSON.stringify(answer)}`
}

/** A stream that ends early is true as long as it does not look complete. */
function judgeStream (answer: string, id: string): string | undefined {
  const isComplete = answer.endsWith('\r\n0\r\n\r\n')
  const ids = [...answer.matchAll(/^id: (\d+)\n/gm)].map(([, number]) => Number(number))
  const isInOrder = ids.every((number, index) => number === index + 1)
  const isAnswerOfPlain = answer.endsWith(bodyOf({ id }))
  const isWhole = !isComplete || ids.length === EVENTS
  return (isInOrder && isWhole) || isAnswerOfPlain ? undefined : `got ${JSON.stringify(answer)}`
}

async function tell ({ route, ways, requests }: Story): Promise<string | undefined> {
  let next = 0
  const runs = new Map<string, number>()
  const answer = (arrival: Parameters<typeof play>[2]): void => {
    const way = ways[next++ % ways.length] as Way
    if (runsIt(way)) {
      runs.set(arrival.id, (runs.get(arrival.id) ?? 0) + 1)
    }
    play(way, route.isStream === true, arrival)
  }
  const rig = await RelayRig.start(route, answer, answer, answer)
  try {
    for (let number = 0; number < requests; number++) {
      const id = `r${number}`
      const wrong = judge(id, await waitFor(rig, rig.ask(id, id)), runs.get(id) ?? 0, route)
      if (wrong !== undefined) {
        return `${id} ${wrong}`
      }
    }
    return undefined
  } finally {
    rig.stop()
  }
}

describe('what callers are told', () => {
  // A server answers twice, late, in part, for another request, or not at all. A
  // caller that is told something untrue orders twice, or never.
  it('is true whatever backend servers do', async t => {
    t.timeout(110_000)
    await fc.assert(fc.asyncProperty(story, async told => {
      const wrong = await tell(told)
      if (wrong !== undefined) {
        throw new Error(wrong)
      }
    }), { seed: SEED, numRuns: RUNS, includeErrorInReport: true })
    t.pass()
  })
})
