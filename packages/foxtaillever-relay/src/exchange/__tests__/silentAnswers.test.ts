/** How requests end whose server is silent before its answer, or in the middle of a whole one. */
import { setTimeout as wait } from 'node:timers/promises'
import { describe, it } from 'foxtaillever-testing'
import { RelayRig } from '../../__fixtures__/relayRig.js'
import { wholeAnswer } from '../../__fixtures__/scriptedServer.js'
import { SILENCE_MS } from '../../__fixtures__/silentStream.js'
import { Repeatability } from '../../model/routing.js'

/** Time in which what was written arrives on loopback, milliseconds. */
const ARRIVAL_MS = 60

/** Parts of the answers of two servers, `0` and `1`. */
type Step = 'silence' | 'overlap' | 'half0' | 'rest0' | 'whole0' | 'error0' | 'lose0' | 'half1' | 'rest1' | 'whole1' | 'error1' | 'refuse1' | 'lose1'

interface Scenario {
  readonly steps: readonly Step[]
  readonly others: number
  readonly status: number
  readonly body: string
  /** Connections to servers that this instance closed. */
  readonly closed: number
}

const scenarios: readonly Scenario[] = [
  { steps: ['silence', 'whole0'], others: 0, status: 200, body: 'server0', closed: 0 },
  { steps: ['half0', 'silence', 'rest0'], others: 0, status: 200, body: 'server0', closed: 0 },
  { steps: ['silence', 'error0'], others: 0, status: 500, body: 'server0', closed: 0 },
  { steps: ['silence', 'refuse1', 'whole0'], others: 1, status: 200, body: 'server0', closed: 0 },
  { steps: ['silence', 'error1', 'whole0'], others: 1, status: 200, body: 'server0', closed: 0 },
  { steps: ['silence', 'lose1', 'whole0'], others: 1, status: 200, body: 'server0', closed: 0 },
  { steps: ['silence', 'whole1'], others: 1, status: 200, body: 'server1', closed: 1 },
  { steps: ['silence', 'lose0', 'whole1'], others: 1, status: 200, body: 'server1', closed: 0 },
  { steps: ['silence', 'error0', 'whole1'], others: 1, status: 200, body: 'server1', closed: 0 },
  { steps: ['silence', 'half1', 'error0', 'rest1'], others: 1, status: 200, body: 'server1', closed: 0 },
  { steps: ['silence', 'error1', 'lose0'], others: 1, status: 500, body: 'server1', closed: 0 },
  { steps: ['half0', 'silence', 'half1', 'rest0'], others: 1, status: 200, body: 'server0', closed: 1 },
  { steps: ['half0', 'silence', 'half1', 'rest1'], others: 1, status: 200, body: 'server1', closed: 1 },
  { steps: ['half0', 'silence', 'half1', 'lose0', 'rest1'], others: 1, status: 200, body: 'server1', closed: 0 },
  { steps: ['half0', 'silence', 'half1', 'overlap', 'rest1'], others: 1, status: 200, body: 'server1', closed: 1 }
]

describe('a repeatable request whose server falls silent', () => {
  // Guards against giving up a server that still answers, and against an answer of parts of two servers.
  for (const { steps, others, status, body, closed } of scenarios) {
    it(`gets one whole answer: ${steps.join(' ')}, ${others}`, async t => {
      const rig = await RelayRig.start({ repeatability: Repeatability.Idempotent }, ...Array.from({ length: 1 + others }, () => () => {}))
      const answer = rig.sendRequest('a')
      const write = async (index: number, bytesOf: (whole: string) => string, ...shape: string[]): Promise<void> => {
        await rig.servers[index]?.arrived(1)
        const arrival = rig.servers[index]?.arrivals[0]
        if (arrival) {
          arrival.socket.write(bytesOf(wholeAnswer(arrival, `server${index}`, ...shape)))
        }
      }
      const lose = async (index: number): Promise<void> => {
        await rig.servers[index]?.arrived(1)
        rig.servers[index]?.sockets[0]?.destroy()
      }
      const acts: Record<Step, () => Promise<void>> = {
        silence: async () => await rig.clock.advanceBy(SILENCE_MS),
        overlap: async () => await rig.clock.advanceBy(400),
        half0: async () => await write(0, whole => whole.slice(0, -3)),
        rest0: async () => await write(0, whole => whole.slice(-3)),
        whole0: async () => await write(0, whole => whole),
        error0: async () => await write(0, whole => whole, '500 Failed'),
        lose0: async () => await lose(0),
        half1: async () => await write(1, whole => whole.slice(0, -3)),
        rest1: async () => await write(1, whole => whole.slice(-3)),
        whole1: async () => await write(1, whole => whole),
        error1: async () => await write(1, whole => whole, '500 Failed'),
        refuse1: async () => await write(1, whole => whole, '503 Full', 'not-run: 1'),
        lose1: async () => await lose(1)
      }
      await rig.servers[0]?.arrived(1)
      for (const step of steps) {
        await acts[step]()
        await wait(ARRIVAL_MS)
      }
      const text = await answer
      await wait(ARRIVAL_MS)
      const known = rig.directory.all()
      const lost = steps.filter(step => step.startsWith('lose')).length
      const seen = {
        status: Number(/^HTTP\/1.1 (\d+)/.exec(text)?.[1]),
        body: text.slice(text.indexOf('\r\n\r\n') + 4),
        closed: rig.servers.flatMap(({ sockets }) => sockets).filter(({ destroyed }) => destroyed).length - lost,
        outstanding: known.map(({ outstanding }) => outstanding).join()
      }
      rig.stop()
      t.deepEqual(seen, { status, body, closed, outstanding: known.map(() => 0).join() })
    })
  }
})
