/** A real entry process with small limits, and the check that a crowd of clients neither ends nor blocks it. */
import type { ExecutionContext } from 'ava'
import { waitUntil, type Clock } from 'foxtaillever-core'
import { waitFor } from 'foxtaillever-platform/__fixtures__/waitFor'
import { request } from 'undici'
import type { Child } from '../soak/child.js'
import { CrowdConnections, type Crowd } from './crowd.js'
import { openDescriptorsOf, peakMemoryOf } from './processFigures.js'

export interface LimitedProcess {
  readonly clock: Clock
  readonly child: Child
  /** Addresses that clients may connect to, by name. */
  readonly doors: Readonly<Record<string, string>>
  readonly memoryBytes: number
  readonly descriptors: number
  /** Address of the metrics. */
  readonly metricsUrl: string
  /** Sends one ordinary request and returns the status of its answer. */
  readonly sendOrdinary: () => Promise<number>
  readonly close: () => Promise<void>
}

/** How long a crowd stays after its last connection was opened, milliseconds. */
const STAY_MS = 4000

const SAMPLE_INTERVAL_MS = 50

const OK = 200

/** Returns the largest number of descriptors that were open while the crowd was there. */
async function playCrowd ({ clock, child, doors }: LimitedProcess, crowd: Crowd): Promise<number> {
  const connections = CrowdConnections.create(clock, doors[crowd.door] ?? '')
  let descriptors = 0
  const sampling = setInterval(() => {
    if (child.pid !== undefined) {
      descriptors = Math.max(descriptors, openDescriptorsOf(child.pid))
    }
  }, SAMPLE_INTERVAL_MS)
  await connections.open(crowd)
  await waitUntil(clock, clock.now() + STAY_MS)
  connections.leave()
  clearInterval(sampling)
  return descriptors
}

/** Sum of what the process holds for its clients, bytes; undefined if it has ended. */
async function heldBytes ({ metricsUrl }: LimitedProcess): Promise<number | undefined> {
  try {
    const answer = await request(metricsUrl, { reset: true })
    const lines = [...(await answer.body.text()).matchAll(/^foxtaillever_held_\S+ (\S+)$/gm)]
    return lines.length === 0 ? undefined : lines.reduce((sum, [, value]) => sum + Number(value), 0)
  } catch {
    return undefined
  }
}

/** Plays the crowd and checks that the process lives within its limits, answers an ordinary request afterwards, and holds nothing for clients in the end. */
export async function checkCrowd (t: ExecutionContext, process: LimitedProcess, crowd: Crowd): Promise<void> {
  try {
    const { child, memoryBytes, descriptors: maxDescriptors, sendOrdinary } = process
    t.is(await sendOrdinary(), OK, 'an ordinary request before the crowd')
    const descriptors = await playCrowd(process, crowd)
    await waitFor('an ordinary request is answered, or the process has ended', async () => !child.isUp() || await sendOrdinary() === OK).catch((error: Error) => t.fail(error.message))
    t.deepEqual(child.unexpectedExits, [])
    const memory = child.pid === undefined ? Infinity : peakMemoryOf(child.pid)
    await waitFor('nothing is held for clients any more', async () => await heldBytes(process) === 0).catch((error: Error) => t.fail(error.message))
    t.log(`${Math.round(memory / 1_048_576)} MB, ${descriptors} descriptors`)
    t.true(memory <= memoryBytes, `${memory} of ${memoryBytes} bytes of memory`)
    t.true(descriptors <= maxDescriptors, `${descriptors} of ${maxDescriptors} descriptors`)
  } finally {
    await process.close()
  }
}
