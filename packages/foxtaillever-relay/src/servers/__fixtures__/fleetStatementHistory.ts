/**
 * A random history, drawn from a seed, of several instances around one store. Servers that leave
 * state it in their answers and in their entries, in either order. Other writers overwrite entries,
 * servers start again under their ids, and some instances or all are cut off from the store for a
 * while. Each server counts the requests that reach it after an instance must know that it leaves.
 */
import { SeededRandom } from 'foxtaillever-core'
import { Logs } from 'foxtaillever-telemetry'
import { VirtualClock } from 'foxtaillever-testing/virtualClock'
import { Left, Right, type Either } from 'purify-ts'
import { FakeFleet, FakeStore } from '../../knowledge/__fixtures__/fakeFleet.js'
import { RecordHandler } from '../../knowledge/recordHandler.js'
import { noLimit } from '../../model/limitStatement.js'
import { ServerState, type ListedServer } from '../../model/listedServer.js'
import { OperatorKey } from '../../relayOptions.js'
import { RelayLog } from '../../telemetry/relayLog.js'
import { ServerDirectory } from '../serverDirectory.js'
import { availableFrom, reachableFrom } from '../serverAvailability.js'
import { ServerStatementHandler } from '../serverStatementHandler.js'

const INSTANCES = ['a', 'b', 'c', 'd']
const SERVERS = 4
const DRAWN_MS = 12_000

/** From a server's leaving to its last request: the required bound, milliseconds. */
const DRAIN_MS = 2000

/** Maximum transit of a request, milliseconds; a request counts by when it was sent. */
const TRANSIT_MS = 20
const WORK_MS = 60
const REQUEST_INTERVAL_MS = 500
const HEARTBEAT_MS = 300
const CHANGE_INTERVAL_MS = 700
const OUTAGE_MS = 400
/** From an outage of the store to its next disturbance or to a change of an entry, milliseconds: the bound holds for a store that is stable. */
const STABLE_MS = 3000

interface DrawnServer {
  readonly id: string
  startedAt: number
  isLeaving: boolean
  /** The entry says what the server states, rather than an earlier state. */
  isEntryCurrent: boolean
  /** When the entry began to say that the server leaves. */
  entryLeavingAt: number
  /** When each instance received an answer that stated it, by the instance's name. */
  readonly answerLeavingAt: Map<string, number>
  heartbeat: number
}

interface DrawnInstance {
  readonly name: string
  readonly directory: ServerDirectory
  readonly statements: ServerStatementHandler
}

const UNREADABLE = 'unreadable'

function readEntry (id: string, value: Buffer): Either<string, ListedServer> {
  const [state = '', startedAt] = value.toString().split(/[ |]/)
  return state === UNREADABLE
    ? Left(UNREADABLE)
    : Right({ id, startedAt: Number(startedAt), service: 's', address: '127.0.0.1:1', failureDomain: 'd', slots: 8, state: state as ServerState, coldLeftMs: 0, softwareVersion: 'v1', weights: new Map() })
}

export class FleetStatementHistory {
  private readonly clock = VirtualClock.create()
  private readonly store = new FakeStore(this.clock)
  private readonly random: SeededRandom
  private readonly instances: DrawnInstance[] = []
  private readonly violations: string[] = []
  private stableFrom = 0
  private readonly fleet: FakeFleet
  private readonly servers: DrawnServer[] = Array.from({ length: SERVERS }, (_, index) => ({
    id: `s${index}`, startedAt: 1, isLeaving: false, isEntryCurrent: true, entryLeavingAt: Infinity, answerLeavingAt: new Map(), heartbeat: 0
  }))

  private constructor (seed: number) {
    this.random = SeededRandom.create(seed)
    this.store.append('operators', 'config', 'one')
    this.servers.forEach(server => this.writeHeartbeat(server))
    this.fleet = new FakeFleet(this.clock, this.store, INSTANCES, undefined, name => this.createInstance(name))
  }

  /** @returns requests that reached a server although their instance had to know that the server leaves. */
  static async play (seed: number): Promise<string[]> {
    const history = new FleetStatementHistory(seed)
    const { clock, fleet } = history
    await clock.advanceBy(STABLE_MS)
    history.instances.forEach(instance => history.repeat(REQUEST_INTERVAL_MS, () => history.sendRequest(instance)))
    history.repeat(CHANGE_INTERVAL_MS, () => history.change())
    await clock.advanceBy(DRAWN_MS)
    fleet.instances.forEach(({ replica }) => replica.stop())
    return history.violations
  }

  private createInstance (name: string): RecordHandler['applyServerRecord'] {
    const { clock } = this
    const log = RelayLog.create(Logs.create({ instance: name, level: 'silent', clock }))
    const directory = ServerDirectory.create({ onChanged: () => {}, now: () => clock.now() })
    const handler = RecordHandler.create({
      clock,
      log,
      directory,
      readers: { routing: () => Left(''), weights: () => Left(''), server: readEntry, kindOfKey: () => OperatorKey.Other },
      removalsDeferredUntil: () => -Infinity,
      onRouting: () => {},
      onWeights: () => {}
    })
    this.instances.push({ name, directory, statements: ServerStatementHandler.create({ clock, directory, limits: { applyStatement: () => {} }, brittle: { applyStatement: () => {} }, onBackoffRequested: () => {}, log }) })
    return record => handler.applyServerRecord(record)
  }

  /** Repeats a task after random pauses of the given mean. */
  private repeat (meanMs: number, task: () => void): void {
    this.after(1 + this.random.below(2 * meanMs), () => {
      task()
      this.repeat(meanMs, task)
    })
  }

  private after (ms: number, task: () => void): void {
    this.clock.at(this.clock.now() + ms, task)
  }

  private change (): void {
    const server = this.servers[this.random.below(SERVERS)] as DrawnServer
    const changes = Object.values(this.changes)
    changes[this.random.below(changes.length)]?.(server)
  }

  private readonly changes: Readonly<Record<string, (server: DrawnServer) => void>> = {
    /** The server states first in its answers that it leaves; the entry follows. */
    leaveByAnswerFirst: server => {
      server.isLeaving = true
      this.after(this.random.below(400), () => { server.isEntryCurrent = true })
      server.isEntryCurrent = false
    },
    leave: server => { server.isLeaving = true },
    restart: server => {
      Object.assign(server, { startedAt: this.clock.now(), isLeaving: false, isEntryCurrent: true, entryLeavingAt: Infinity })
      server.answerLeavingAt.clear()
      this.store.append('servers', server.id, `ready ${server.startedAt}|${server.heartbeat++}`)
    },
    /** One instance learns of a start from an answer before it knows the entry. */
    learnStart: server => {
      const { directory } = this.instances[this.random.below(INSTANCES.length)] as DrawnInstance
      const known = directory.get(server.id)
      if (known) {
        directory.recordStart(known, server.startedAt)
      }
    },
    overwriteEntry: server => this.store.append('servers', server.id, `${UNREADABLE}|`),
    loseStore: () => this.disturbStore(on => { this.store.isDown = on }),
    cutOffOne: () => {
      const name = INSTANCES[this.random.below(INSTANCES.length)] as string
      this.disturbStore(on => on ? this.store.unreachableFrom.add(name) : this.store.unreachableFrom.delete(name))
    }
  }

  private disturbStore (set: (on: boolean) => void): void {
    const now = this.clock.now()
    if (now < this.stableFrom) {
      return
    }
    const ms = this.random.below(OUTAGE_MS)
    this.stableFrom = now + ms + STABLE_MS
    set(true)
    this.after(ms, () => set(false))
  }

  private writeHeartbeat (server: DrawnServer): void {
    const isDraining = server.isLeaving && server.isEntryCurrent
    // A server cannot write while the store is down.
    if (!this.store.isDown) {
      this.store.append('servers', server.id, `${isDraining ? ServerState.Draining : ServerState.Ready} ${server.startedAt}|${server.heartbeat++}`)
      server.entryLeavingAt = isDraining ? Math.min(server.entryLeavingAt, this.clock.now()) : Infinity
    }
    this.after(HEARTBEAT_MS, () => this.writeHeartbeat(server))
  }

  private sendRequest (instance: DrawnInstance): void {
    const sentAt = this.clock.now()
    const available = instance.directory.ready('s').filter(known => availableFrom(known) <= sentAt && reachableFrom(known) <= sentAt)
    const known = available[this.random.below(Math.max(1, available.length))]
    const server = this.servers.find(({ id }) => id === known?.listed.id)
    if (known === undefined || server === undefined) {
      return
    }
    this.after(this.random.below(TRANSIT_MS), () => {
      const { startedAt, isLeaving } = server
      this.checkArrival(instance, server, sentAt)
      this.after(this.random.below(WORK_MS), () => {
        if (server.startedAt === startedAt) {
          instance.statements.applyStatement(known, { serverId: server.id, requestId: undefined, hasRun: true, isLeaving, restMs: Right(0), limit: noLimit, maxRejections: noLimit }, sentAt)
          if (isLeaving && !server.answerLeavingAt.has(instance.name)) {
            server.answerLeavingAt.set(instance.name, this.clock.now())
          }
        }
      })
    })
  }

  private checkArrival ({ name }: DrawnInstance, { id, entryLeavingAt, answerLeavingAt }: DrawnServer, sentAt: number): void {
    const stableFrom = this.stableFrom <= this.clock.now() ? 0 : this.stableFrom
    const byEntry = Math.max(entryLeavingAt, stableFrom)
    const lateMs = sentAt - Math.min(byEntry, answerLeavingAt.get(name) ?? Infinity) - DRAIN_MS
    if (lateMs > 0) {
      this.violations.push(`${name} sent to ${id} ${Math.round(lateMs + DRAIN_MS)} ms after it learned that the server leaves`)
    }
  }
}
