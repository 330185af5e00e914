/** Sends the requests of a soak and checks the outcome of each after the soak. */
import { waitUntil, type Random } from 'foxtaillever-core'
import type { CallerReply } from 'foxtaillever-platform/__fixtures__/caller'
import { sentRequestOf, type SentRequest } from 'foxtaillever-platform/__fixtures__/statementOracle'
import { Path, promptHeaders, wholeStream } from 'foxtaillever-platform/__fixtures__/relayFleet'
import type { Disturbances } from './disturbances.js'
import type { SoakFleet } from './soakFleet.js'
import { PERMANENT_KEYS } from './soakOperator.js'

const EVENTS_PER_STREAM = 20

/** How long callers wait for an answer, milliseconds. */
const CALLER_TIMEOUT_MS = 4000

/** Statuses that promise that the request has not run and never will. */
const notRunStatuses = new Set([408, 421, 429, 503])

const paths = [Path.Stream, Path.Once, Path.Repeatable] as const

/** A configuration is in force at every instance after this time, milliseconds. */
const MAX_CONFIGURATION_DELAY_MS = 2000

/** Share of callers that disconnect in the middle of their answer. */
const DISCONNECT_SHARE = 0.1

/** How long after sending they disconnect, milliseconds. */
const DISCONNECT_AFTER_MS = 60

/** Share of requests with a temporary key. */
const TEMPORARY_KEY_SHARE = 0.3

/** Tries of a caller whose stream breaks, and the time before each, milliseconds. */
const MAX_TRIES = 3
const TRY_AGAIN_AFTER_MS = 50

/** Servers that end with a request before it is refused. */
const CRASHES_TO_REFUSE = 3

interface CompletedRequest {
  readonly id: string
  readonly path: Path
  readonly key: string
  /** Index of the instance. */
  readonly instance: number
  /** Milliseconds of Unix time. */
  readonly at: number
  readonly answeredAt: number
  readonly reply: CallerReply
  /** Events that the caller had received before, over its earlier tries; none unless it takes up a stream. */
  readonly eventsBefore: readonly string[]
}

export class PlatformLoad {
  private readonly completed: CompletedRequest[] = []
  private nextNumber = 0

  private constructor (private readonly fleet: SoakFleet, private readonly random: Random, private readonly disturbances: Disturbances) {}

  static create (fleet: SoakFleet, random: Random, disturbances: Disturbances): PlatformLoad {
    return new PlatformLoad(fleet, random, disturbances)
  }

  async send (): Promise<void> {
    const { fleet, random } = this
    const id = `q${this.nextNumber++}`
    const path = paths[random.below(paths.length)] as Path
    const instance = random.below(fleet.instances.length)
    const { address } = fleet.instances[instance] ?? { address: '' }
    const headers = path === Path.Stream ? promptHeaders(id, EVENTS_PER_STREAM) : {}
    const key = this.drawKey()
    const at = fleet.clock.now()
    const disconnectAfterMs = random.next() < DISCONNECT_SHARE ? DISCONNECT_AFTER_MS : undefined
    const reply = await fleet.caller.send({ address, id, path: `${path}x`, key, headers, body: 'a body', patienceMs: CALLER_TIMEOUT_MS, disconnectAfterMs })
    const sent = { id, path, key, instance, at, answeredAt: fleet.clock.now(), reply, eventsBefore: [] }
    this.completed.push(sent)
    if (path === Path.Stream) {
      await this.takeUp(sent)
    }
  }

  /** Takes up a stream that broke after some events, at other instances. */
  private async takeUp (first: CompletedRequest): Promise<void> {
    const { fleet } = this
    const { id: firstId, path, key } = first
    let events = wholeEvents(first)
    for (let count = 1; count < MAX_TRIES && events.length > 0 && events.length < EVENTS_PER_STREAM; count += 1) {
      await waitUntil(fleet.clock, fleet.clock.now() + TRY_AGAIN_AFTER_MS)
      const [id, instance, at] = [`${firstId}-${count}`, (first.instance + count) % fleet.instances.length, fleet.clock.now()]
      const headers = { ...promptHeaders(firstId, EVENTS_PER_STREAM), 'Last-Event-Id': String(events.length), Resumes: firstId }
      const reply = await fleet.caller.send({ address: fleet.instances[instance]?.address ?? '', id, path: `${path}x`, key, headers, body: 'a body', patienceMs: CALLER_TIMEOUT_MS })
      const sent = { id, path, key, instance, at, answeredAt: fleet.clock.now(), reply, eventsBefore: events }
      this.completed.push(sent)
      events = [...events, ...wholeEvents(sent)]
    }
  }

  /** When requests were sent for each service, by the beginning of its servers' names. */
  get requestTimes (): Readonly<Record<string, readonly number[]>> {
    const timesOf = (isStream: boolean): number[] => this.completed.filter(({ path }) => (path === Path.Stream) === isStream).map(({ at }) => at)
    return { engine: timesOf(true), plain: timesOf(false) }
  }

  /** Streams that were taken up, and those of them that went on. */
  get takenUp (): { readonly streams: number, readonly wentOn: number } {
    const takenUp = this.completed.filter(({ eventsBefore }) => eventsBefore.length > 0)
    return { streams: takenUp.length, wentOn: takenUp.filter(sent => wholeEvents(sent).length > 0).length }
  }

  /** Draws a permanent key, or one of the last three temporary keys. */
  private drawKey (): string {
    const { random, fleet } = this
    const permanent = Object.keys(PERMANENT_KEYS)
    const temporary = fleet.operator.temporaryKeys.slice(-3).map(({ key }) => key)
    const keys = random.next() < TEMPORARY_KEY_SHARE ? temporary : permanent
    return keys[random.below(keys.length)] ?? ''
  }

  /** All completed requests, for oracles. */
  get requests (): readonly SentRequest[] {
    return this.completed.map(({ at: sentAt, reply: { headers }, ...sent }) => sentRequestOf({ ...sent, sentAt, headers }))
  }

  /** When each request was sent, where, and whether it was served. */
  get replies (): ReadonlyArray<{ readonly instance: number, readonly at: number, readonly isServed: boolean }> {
    return this.completed.filter(({ reply: { status } }) => ![401, 403, 404].includes(status)).map(({ instance, at, reply: { status, isWhole } }) => ({ instance, at, isServed: status === 200 && isWhole }))
  }

  /** Number of requests by status; 0 stands for those without an answer. */
  get outcomes (): Readonly<Record<string, number>> {
    const outcomes: Record<string, number> = {}
    this.completed.forEach(({ reply }) => { outcomes[reply.status] = (outcomes[reply.status] ?? 0) + 1 })
    return outcomes
  }

  /** Broken promises, each as a sentence. */
  violations (): string[] {
    return this.completed.flatMap(sent => this.check(sent))
  }

  /** Whether every instance knew, when the request came, that the key was in force (or, with `isInForce` false, that it no longer was). */
  private isKeyStateKnown ({ at, key }: CompletedRequest, isInForce: boolean): boolean {
    const temporaryKey = this.fleet.operator.temporaryKeys.find(candidate => candidate.key === key)
    const { from, until } = temporaryKey ?? { from: -Infinity, until: Infinity }
    return isInForce
      ? from + MAX_CONFIGURATION_DELAY_MS <= at && until > at + CALLER_TIMEOUT_MS && (temporaryKey === undefined || this.disturbances.wasUndisturbed(from, at))
      : until + MAX_CONFIGURATION_DELAY_MS <= at && this.disturbances.wasUndisturbed(until, at)
  }

  /** A request that was lost at three servers may be refused for itself; never for a level of its prompt. */
  private mayHaveCrashed ({ id, reply: { body } }: CompletedRequest): boolean {
    const [first = ''] = id.split('-')
    const arrivals = this.fleet.platform.servers.flatMap(server => server.arrivals).filter(({ requestId }) => requestId.split('-')[0] === first)
    return body.includes('This request crashed') && arrivals.length >= CRASHES_TO_REFUSE
  }

  private check (sent: CompletedRequest): string[] {
    const { id, path, eventsBefore, reply: { status, isWhole, body, isStamped } } = sent
    const runs = this.fleet.platform.servers.reduce((sum, server) => sum + server.runsOf(id), 0)
    const events = [...eventsBefore, ...wholeEvents(sent)]
    const expectedEvents = wholeStream(id.split('-')[0] ?? '', EVENTS_PER_STREAM).split('\n\n').slice(0, -1)
    const isStream = path === Path.Stream
    const isInOrder = events.every((event, index) => event.split('@')[0] === expectedEvents[index])
    const isExpectedBody = isStream ? isInOrder && events.length === EVENTS_PER_STREAM : body.startsWith(`done ${id} `)
    const promises: ReadonlyArray<readonly [string, boolean]> = [
      ['ran more than once', path !== Path.Once || runs <= 1],
      ['was reported as not run, but ran', !notRunStatuses.has(status) || runs === 0],
      ['got a complete answer with wrong bytes', status !== 200 || !isWhole || isExpectedBody],
      ['got a success without the server\'s stamp', status !== 200 || isStamped],
      ['got events out of order or cut off', !isStream || status !== 200 || isInOrder],
      ['got events of several software versions', new Set(events.map(event => event.split('@')[1])).size <= 1],
      ['was denied though its key is in force', ![400, 401, 403, 404].includes(status) || !this.isKeyStateKnown(sent, true)],
      ['was refused as one that crashes servers, and is sound', !body.includes('"code":"quarantined"') || this.mayHaveCrashed(sent)],
      ['ran though its key was no longer in force', runs === 0 || !this.isKeyStateKnown(sent, false)]
    ]
    return promises.filter(([, holds]) => !holds).map(([claim]) => `${id} (${path}) ${claim}: status ${status}, ${runs} runs`)
  }
}

function wholeEvents ({ path, reply: { status, body } }: Pick<CompletedRequest, 'path' | 'reply'>): string[] {
  return path === Path.Stream && status === 200 ? body.split('\n\n').slice(0, -1) : []
}
