/**
 * Streams whose connections break, and that their callers take up at other instances until they are whole, while releases
 * replace the servers by those of another software version. What two versions write must not be joined.
 */
import { waitUntil } from 'foxtaillever-core'
import { ENGINES, MODEL, Path, promptHeaders, ZONES } from 'foxtaillever-platform/__fixtures__/relayFleet'
import type { BackendServer } from 'foxtaillever-standins'
import type { SoakFleet } from './soakFleet.js'

/** A stream lasts two seconds and more. */
const EVENTS = 100
const ENGINE = { stepMs: 20, slots: 64, maxWaiting: 64, memoryTokens: 400_000 }

const DEADLINE_MS = 12_000
const SERVED = 200

/** Longest and shortest time before a caller's next try, milliseconds. */
const MAX_WAIT_MS = 1500
const MIN_WAIT_MS = 50

export interface RejoinedStream {
  readonly id: string
  /** Number of tries, and of those that were answered 200 after the first event had come. */
  readonly tries: number
  readonly takenUp: number
  readonly events: readonly string[]
}

export interface StreamLoad {
  readonly until: number
  readonly intervalMs: number
  /** Whether callers name the try that began the stream that they take up. */
  readonly namesFirst: boolean
  /** Index of the instance that gets a try. */
  readonly instanceOf: (stream: number, attempt: number) => number
  /** When the caller's first connection breaks, milliseconds; undefined if it does not. */
  readonly cutAfterMs?: number
}

/** Adds an engine of a software version in each failure domain. */
export async function addVersion ({ platform, operator }: SoakFleet, softwareVersion: string): Promise<readonly BackendServer[]> {
  return await Promise.all(ZONES.map(async zone => (await platform.addEngine(`engine-${softwareVersion}-${zone}`, ENGINES, zone, { [MODEL]: operator.weights }, ENGINE, softwareVersion)).server))
}

/** Ends servers: their entries are removed, and their connections break. */
export function endServers ({ platform }: SoakFleet, servers: readonly BackendServer[]): void {
  servers.forEach(server => {
    platform.remove(server)
    server.close()
  })
}

export async function sendStreams (fleet: SoakFleet, load: StreamLoad): Promise<readonly RejoinedStream[]> {
  const { clock } = fleet
  const streams: Array<Promise<RejoinedStream>> = []
  for (let count = 0; clock.now() < load.until; count += 1) {
    streams.push(sendUntilWhole(fleet, load, count))
    await waitUntil(clock, clock.now() + load.intervalMs)
  }
  return await Promise.all(streams)
}

async function sendUntilWhole ({ clock, caller, instances }: SoakFleet, { namesFirst, instanceOf, cutAfterMs }: StreamLoad, stream: number): Promise<RejoinedStream> {
  const id = `stream${stream}`
  const events: string[] = []
  const deadline = clock.now() + DEADLINE_MS
  let first = ''
  let takenUp = 0
  let tries = 0
  for (; clock.now() < deadline && events.length < EVENTS; tries += 1) {
    const resumes = events.length === 0 ? {} : { 'Last-Event-Id': String(events.length), ...(namesFirst ? { Resumes: first } : {}) }
    const tryId = `${id}-${tries}`
    const address = instances[instanceOf(stream, tries)]?.address ?? ''
    const { status, body, headers } = await caller.send({ address, id: tryId, path: `${Path.Stream}x`, key: 'key-acme', headers: { ...promptHeaders(id, EVENTS), ...resumes }, patienceMs: deadline - clock.now(), disconnectAfterMs: tries === 0 ? cutAfterMs : DEADLINE_MS, isNewConnection: true })
    const received = status === SERVED ? body.split('\n\n').slice(0, -1) : []
    takenUp += status === SERVED && events.length > 0 ? 1 : 0
    first ||= received.length > 0 ? tryId : ''
    events.push(...received)
    await waitUntil(clock, clock.now() + Math.min(MAX_WAIT_MS, Math.max(MIN_WAIT_MS, Number(headers['retry-after'] ?? 0) * 1000)))
  }
  return { id, tries, takenUp, events }
}

function versionOf (event: string): string {
  return event.split('@')[1] ?? 'v1'
}

/** Streams with events of several software versions, and those whose events are not in order. */
export function joinedStreams (streams: readonly RejoinedStream[]): string[] {
  return streams.flatMap(({ id, events }) => {
    const versions = [...new Set(events.map(versionOf))]
    const isInOrder = events.every((event, index) => event.startsWith(`id: ${index + 1}\n`))
    return [
      ...(versions.length > 1 ? [`${id} has events of ${versions.join(' and ')}, the first of the second one is ${events.findIndex(event => versionOf(event) === versions[1]) + 1}`] : []),
      ...(isInOrder ? [] : [`${id} has events that are not in order`])
    ]
  })
}

export function describeStreams (streams: readonly RejoinedStream[]): string {
  const whole = streams.filter(({ events }) => events.length === EVENTS).length
  const takenUp = streams.filter(stream => stream.takenUp > 0).length
  return `${streams.length} streams, ${whole} whole, ${takenUp} taken up, ${joinedStreams(streams).length} joined`
}
