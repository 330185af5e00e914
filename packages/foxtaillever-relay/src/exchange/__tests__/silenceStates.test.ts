/** How exchanges end whose silent server is to be replaced, in each state of the replacement. */
import { setTimeout as wait } from 'node:timers/promises'
import { LimitOutcome } from 'foxtaillever-policy/limits/sharedLimitLedger'
import { describe, it } from 'foxtaillever-testing'
import { RelayRig } from '../../__fixtures__/relayRig.js'
import { streamHead, type Answer, type Arrival } from '../../__fixtures__/scriptedServer.js'
import { event, idsOf, LAST_CHUNK, resumableStream, SILENCE_MS } from '../../__fixtures__/silentStream.js'
import { LimitStatementKind } from '../../model/limitStatement.js'

/** Time in which nothing more is to arrive, milliseconds. */
const ARRIVAL_MS = 60

/** Longest wait for what is to arrive on a busy machine, milliseconds. */
const MAX_WAIT_MS = 5000

async function until (isReached: () => boolean): Promise<void> {
  for (let ms = 0; ms < MAX_WAIT_MS && !isReached(); ms += 1) {
    await wait(1)
  }
}

type Step = 'silence' | 'resume' | 'lose' | 'query' | 'gone' | 'abort' | 'deadline' | 'end' | 'event1' | 'end1' | 'lose1' | 'grant'

const scenarios: Array<{ steps: Step[], others: number, isAsync: boolean, ids: string, whole: boolean, at1: number, hasLimit?: boolean }> = [
  { steps: ['silence', 'resume', 'query', 'end'], others: 1, isAsync: true, ids: '1,2', whole: true, at1: 0 },
  { steps: ['silence', 'lose', 'query', 'event1', 'end1'], others: 1, isAsync: true, ids: '1,9', whole: true, at1: 1 },
  { steps: ['silence', 'lose', 'query'], others: 0, isAsync: true, ids: '1', whole: false, at1: 0 },
  { steps: ['silence', 'gone', 'query'], others: 1, isAsync: true, ids: '1', whole: false, at1: 0 },
  { steps: ['silence', 'lose', 'gone', 'query'], others: 1, isAsync: true, ids: '1', whole: false, at1: 0 },
  { steps: ['silence', 'lose', 'abort', 'query'], others: 1, isAsync: true, ids: '1', whole: false, at1: 0 },
  { steps: ['silence', 'lose', 'deadline', 'query'], others: 1, isAsync: true, ids: '1', whole: false, at1: 0 },
  { steps: ['silence', 'abort', 'query'], others: 1, isAsync: true, ids: '1', whole: false, at1: 0 },
  { steps: ['silence', 'deadline', 'query'], others: 1, isAsync: true, ids: '1', whole: false, at1: 0 },
  { steps: ['silence', 'resume', 'silence', 'query', 'event1', 'end1'], others: 1, isAsync: true, ids: '1,2,9', whole: true, at1: 1 },
  { steps: ['silence', 'resume', 'lose', 'query', 'event1', 'end1'], others: 1, isAsync: true, ids: '1,2,9', whole: true, at1: 1 },
  { steps: ['silence', 'end', 'query'], others: 1, isAsync: true, ids: '1', whole: true, at1: 0 },
  { steps: ['silence', 'gone'], others: 1, isAsync: false, ids: '1', whole: false, at1: 1 },
  { steps: ['silence', 'abort'], others: 1, isAsync: false, ids: '1', whole: false, at1: 1 },
  { steps: ['silence', 'deadline'], others: 1, isAsync: false, ids: '1', whole: false, at1: 1 },
  { steps: ['silence', 'end'], others: 1, isAsync: false, ids: '1', whole: true, at1: 1 },
  { steps: ['silence', 'lose1', 'lose'], others: 1, isAsync: false, ids: '1', whole: false, at1: 1 },
  { steps: ['silence', 'lose1', 'resume', 'end'], others: 1, isAsync: false, ids: '1,2', whole: true, at1: 1 },
  { steps: ['silence', 'lose', 'lose1'], others: 1, isAsync: false, ids: '1', whole: false, at1: 1 },
  { steps: ['silence', 'lose', 'gone'], others: 1, isAsync: false, ids: '1', whole: false, at1: 1 },
  { steps: ['silence', 'lose', 'end1'], others: 1, isAsync: false, ids: '1', whole: true, at1: 1 },
  { steps: ['silence', 'resume', 'grant', 'end'], others: 1, isAsync: false, ids: '1,2', whole: true, at1: 0, hasLimit: true },
  { steps: ['silence', 'lose', 'grant', 'event1', 'end1'], others: 1, isAsync: false, ids: '1,9', whole: true, at1: 1, hasLimit: true },
  { steps: ['silence', 'gone', 'grant'], others: 1, isAsync: false, ids: '1', whole: false, at1: 0, hasLimit: true },
  { steps: ['silence', 'resume', 'lose', 'grant', 'event1', 'end1'], others: 1, isAsync: false, ids: '1,2,9', whole: true, at1: 1, hasLimit: true },
  { steps: ['silence', 'lose', 'deadline', 'grant'], others: 1, isAsync: false, ids: '1', whole: false, at1: 0, hasLimit: true }
]

describe('an exchange whose server falls silent', () => {
  // Guards against an exchange that does not end, ends twice, or leaves an attempt, a claim or a count behind.
  for (const { steps, others, isAsync, ids, whole, at1, hasLimit = false } of scenarios) {
    it(`ends once: ${steps.join(' ')}, ${isAsync ? 'query' : hasLimit ? 'limit' : 'no query'}, ${others}`, async t => {
      const first: Answer = (arrival: Arrival) => { arrival.socket.write(streamHead(arrival) + event(1)) }
      const second: Answer = arrival => { arrival.socket.write(streamHead(arrival)) }
      const rig = await RelayRig.start(resumableStream, first, ...Array.from({ length: others }, () => second))
      const pending: Array<() => void> = []
      const grants: Array<() => void> = []
      let [claims, refunds] = [0, 0]
      rig.limitProtocol = {
        claim: (_: unknown, onResult: (result: { outcome: LimitOutcome }) => void) => { claims += 1; grants.push(() => onResult({ outcome: LimitOutcome.Granted })) },
        refund: () => { refunds += 1 }
      } as never
      const s1 = rig.directory.get('s1')
      if (hasLimit && s1) {
        rig.limits.applyStatement(s1, { limit: { kind: LimitStatementKind.Limit, perSecond: 50 }, hasRun: true } as never, rig.clock.now())
      }
      let text = ''
      let closes = 0
      const socket = rig.connect()
      socket.on('data', bytes => { text += bytes.toString('latin1') })
      socket.on('close', () => { closes += 1 })
      socket.write('POST /p HTTP/1.1\r\nhost: h\r\nrequest-id: a\r\nconnection: close\r\ncontent-length: 0\r\n\r\n')
      await until(() => idsOf(text).length === 1)
      if (isAsync) {
        rig.queryLoad = async () => await new Promise(resolve => pending.push(() => resolve(new Set<number>())))
      }
      const write = async (server: number, bytes: string): Promise<void> => {
        await until(() => rig.servers[server]?.arrivals.length === 1)
        rig.servers[server]?.arrivals[0]?.socket.write(bytes)
      }
      const sendEvent = async (server: number, id: number): Promise<void> => {
        await write(server, event(id))
        await until(() => idsOf(text).includes(String(id)))
      }
      const acts: Record<Step, () => Promise<void> | void> = {
        silence: async () => await rig.clock.advanceBy(SILENCE_MS),
        resume: async () => await sendEvent(0, 2),
        lose: () => { rig.servers[0]?.sockets[0]?.destroy() },
        query: () => pending.splice(0).forEach(done => done()),
        gone: () => { socket.destroy() },
        abort: () => rig.runs.abort(),
        deadline: async () => await rig.clock.advanceBy(9000),
        end: async () => await write(0, LAST_CHUNK),
        event1: async () => await sendEvent(1, 9),
        end1: async () => await write(1, LAST_CHUNK),
        lose1: async () => {
          await until(() => rig.servers[1]?.arrivals.length === 1)
          rig.servers[1]?.sockets[0]?.destroy()
        },
        grant: () => grants.splice(0).forEach(done => done())
      }
      for (const step of steps) {
        await acts[step]()
        await wait(ARRIVAL_MS)
      }
      await until(() => closes === 1)
      await wait(ARRIVAL_MS)
      const known = rig.directory.all()
      const seen = {
        ids: idsOf(text).join(),
        whole: text.endsWith(LAST_CHUNK),
        at1: rig.servers[1]?.arrivals.length ?? 0,
        closes,
        runs: rig.runs.size,
        outstanding: known.map(({ outstanding }) => outstanding).join(),
        held: known.reduce((sum, { heldTokens, unreadTokens }) => sum + heldTokens + unreadTokens, 0),
        openAtServers: rig.servers.flatMap(({ sockets }) => sockets).filter(({ destroyed }) => !destroyed).length <= (whole ? 2 : 0),
        limit: claims - refunds
      }
      rig.stop()
      t.deepEqual(seen, { ids, whole, at1, closes: 1, runs: 0, outstanding: known.map(() => 0).join(), held: 0, openAtServers: true, limit: hasLimit ? at1 : 0 })
    })
  }
})
