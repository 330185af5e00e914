/** Each call that an exchange makes of its surroundings throws once, at every step and on every kind of route. */
import type { ExecutionContext } from 'ava'
import { describe, it } from 'foxtaillever-testing'
import { RelayRig, readAll } from '../../__fixtures__/relayRig.js'
import { routeKinds } from '../../__fixtures__/routeKinds.js'
import { chunk, streamHead, wholeAnswer, type Answer } from '../../__fixtures__/scriptedServer.js'
import type { Route } from '../../model/routing.js'
import type { KnownServer } from '../../servers/knownServer.js'

/** Turns of the event loop before the clock advances; sockets on loopback need a few. */
const TURNS_PER_STEP = 20
const STEP_MS = 20

/** An exchange ends within this after an error in one of its steps, milliseconds of the virtual clock. */
const AT_ONCE_MS = 100

/** Longest exchange without an error, milliseconds of the virtual clock: the deadline of the route and a little more. */
const LONGEST_MS = 12_000

const EVENTS = chunk('id: 1\ndata: a\n\n') + chunk('id: 2\ndata: b\n\n')

interface Script {
  /** Whether the server runs the request. */
  readonly runs: boolean
  readonly answer: (isStream: boolean) => Answer
}

const whole: Script = {
  runs: true,
  answer: isStream => arrival => { arrival.socket.write(isStream ? `${streamHead(arrival)}${EVENTS}0\r\n\r\n` : wholeAnswer(arrival, 'well')) }
}
const refused: Script = { runs: false, answer: () => arrival => { arrival.socket.write(wholeAnswer(arrival, '', '503 Busy', 'not-run: 1')) } }
const failed: Script = { runs: true, answer: () => arrival => { arrival.socket.write(wholeAnswer(arrival, 'failed', '500 Failed')) } }
const malformed: Script = { runs: true, answer: () => arrival => { arrival.socket.write(wholeAnswer(arrival, '', '200 OK').replace('stamp', 'no-stamp')) } }
const cut: Script = {
  runs: true,
  answer: isStream => arrival => { arrival.socket.end(isStream ? streamHead(arrival) + chunk('id: 1\ndata: a\n\n') : wholeAnswer(arrival, 'well').slice(0, -2)) }
}
const silent: Script = { runs: true, answer: () => () => {} }

const scripts: Readonly<Record<string, readonly Script[]>> = {
  'a whole answer': [whole],
  'a refusal, then a whole answer': [refused, whole],
  'refusals only': [refused, refused],
  'an error, then a whole answer': [failed, whole],
  'a malformed answer, then a whole one': [malformed, whole],
  'half an answer, then a whole one': [cut, whole],
  'silence, then a whole answer': [silent, whole]
}

interface Play {
  /** Calls of the context, in order. */
  readonly calls: readonly string[]
  /** What the caller received. */
  readonly text: string
  /** Between the error and the end of the caller's connection, milliseconds of the virtual clock. */
  readonly endedAfterMs: number
  /** Whether a server ran the request. */
  readonly hasRun: boolean
  /** Exchanges that have not ended. */
  readonly runs: number
  /** What is still counted against each server. */
  readonly servers: ReadonlyArray<Pick<KnownServer, 'outstanding' | 'unreadTokens' | 'heldTokens'>>
  readonly claimed: number
  readonly refunded: number
  readonly logged: boolean
}

/** Plays one request. @param failingCall index of the call that throws. */
async function play (route: Partial<Route>, script: readonly Script[], failingCall: number): Promise<Play> {
  const isStream = route.isStream === true
  let hasRun = false
  const rig = await RelayRig.start(route, ...script.map(({ runs, answer }): Answer => {
    const respond = answer(isStream)
    return arrival => {
      hasRun ||= runs
      respond(arrival)
    }
  }))
  const calls: string[] = []
  let [claimed, refunded, failedAt] = [0, 0, Infinity]
  rig.quota = { admit: (_, onDecided) => { claimed += 1; onDecided() }, refund: () => { refunded += 1 } }
  rig.onContextCall = name => {
    if (calls.push(name) === failingCall + 1) {
      failedAt = rig.clock.now()
      throw new RangeError(`thrown by ${name}`)
    }
  }
  const socket = rig.connect()
  const answer = readAll(socket)
  socket.write('POST /p HTTP/1.1\r\nhost: h\r\nrequest-id: a\r\nconnection: close\r\ncontent-length: 0\r\n\r\n')
  const startedAt = rig.clock.now()
  for (let turn = 1; !socket.destroyed && rig.clock.now() < Math.min(failedAt + 2 * AT_ONCE_MS, startedAt + LONGEST_MS); turn += 1) {
    await new Promise<void>(resolve => setImmediate(resolve))
    if (turn % TURNS_PER_STEP === 0) {
      await rig.clock.advanceBy(STEP_MS)
    }
  }
  const endedAfterMs = rig.clock.now() - failedAt
  socket.destroy()
  const text = await answer
  const servers = rig.directory.all().map(({ outstanding, unreadTokens, heldTokens }) => ({ outstanding, unreadTokens, heldTokens }))
  const logged = rig.lines.some(({ msg }) => msg.includes('An unexpected error ended a request.'))
  const runs = rig.runs.size
  rig.stop()
  return { calls, text, endedAfterMs, hasRun, runs, servers, claimed, refunded, logged }
}

const notRunStatuses = new Set(['408', '421', '429', '503'])

/** Returns what is wrong with an exchange in which a call threw; undefined where nothing is. */
function findFault ({ calls, text, endedAfterMs, hasRun, runs, servers, claimed, refunded, logged }: Play, isStream: boolean, failingCall: number): string | undefined {
  const status = text.slice(9, 12)
  const isWhole = text.endsWith(isStream ? '0\r\n\r\n' : '\r\n\r\nwell')
  const isPromised = notRunStatuses.has(status)
  const faults = {
    'is not ended at once': endedAfterMs > AT_ONCE_MS,
    'ran and was answered as not run': isPromised && hasRun,
    'looks complete and is not': status === '200' && isWhole && !(isStream ? text.includes('data: a') && text.includes('data: b') : text.endsWith('well')),
    'gets an unknown status': !['200', '500', '502', '503', '504', ''].includes(status),
    'holds something': runs > 0 || servers.some(server => Object.values(server).some(count => count !== 0)),
    'keeps its share of the quota': isPromised && refunded !== claimed && calls[failingCall] !== 'quota.refund',
    'is not logged': !logged && !String(calls[failingCall]).startsWith('log.')
  }
  const [fault] = Object.entries(faults).flatMap(([name, isTrue]) => isTrue ? [name] : [])
  return fault && `a request ${fault} if call ${failingCall} throws (${calls[failingCall]}): status ${status}, ${endedAfterMs} ms, ${runs} runs, ${JSON.stringify(servers)}`
}

async function checkSteps (t: ExecutionContext, route: Partial<Route>, script: readonly Script[]): Promise<void> {
  const { calls } = await play(route, script, -1)
  t.true(calls.length > 10, `${calls.length} calls`)
  const faults: string[] = []
  for (let index = 0; index < calls.length; index += 1) {
    const fault = findFault(await play(route, script, index), route.isStream === true, index)
    faults.push(...(fault === undefined ? [] : [fault]))
  }
  t.deepEqual(faults, [])
}

// Guards against an exchange that an unexpected error leaves behind: held until its deadline, and then answered as not run though it ran.
describe('an unexpected error in a step of an exchange', () => {
  for (const [name, script] of Object.entries(scripts)) {
    describe(`whose servers send ${name}`, () => {
      for (const [kind, route] of Object.entries(routeKinds)) {
        it(`ends it at once, with a true verdict, and nothing is held: ${kind}`, async t => {
          t.timeout(60_000)
          await checkSteps(t, route, script)
        })
      }
    })
  }
})
