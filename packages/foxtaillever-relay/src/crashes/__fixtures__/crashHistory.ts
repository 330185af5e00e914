/**
 * A history of a fleet whose backend servers crash, drawn from a seed: because of levels of
 * prompts, and for other reasons; meanwhile instances are killed, links are cut and
 * datagrams are lost. Counts what the levels cost until they are refused, and which sound
 * levels are quarantined.
 */
import { hashNumber, SeededRandom, waitUntil, type Random } from 'foxtaillever-core'
import { CauseKind } from 'foxtaillever-policy/crashes/suspicion'
import type { Quarantine } from 'foxtaillever-policy/crashes/quarantineTable'
import { watchersOf } from 'foxtaillever-policy/relay/computedWatchers'
import { VirtualClock } from 'foxtaillever-testing/virtualClock'
import { DatagramKind } from '../../peers/datagram.js'
import type { CrashMessage } from '../crashMessage.js'
import { CrashProtocol } from '../crashProtocol.js'
import { PROVEN_AFTER_MS } from '../lossReporter.js'
import type { RequestCauses } from '../lostRequests.js'

const SERVICE = 's'
const DURATION_MS = 45_000
const DECIDERS = 8

/** Requests with the levels begin here, milliseconds after the start. */
const CRASHING_FROM_MS = 5000

/** The bounds that users state: crashes that are not counted, by what causes them, and the time after them. */
const UNCOUNTED_CRASHES: Readonly<Record<CauseKind, number>> = { [CauseKind.Level]: 5, [CauseKind.Request]: 3 }
const CONTACT_MS = 3000

const FIRST_LEVELS = 4
const SECOND_LEVELS = 146
const ACCOUNTS = 8

/** Digests of these requests begin so. */
const REPEATED = 'repeated-'

/** Sound requests that callers send again and again, the same each time. */
const REPEATED_REQUESTS = 4

const QUEUE_MS = { least: 0, most: 60 }
const SHORT_RUN_MS = { least: 60, most: 300 }
const LONG_RUN_MS = { least: 500, most: 2500 }
/** From the start of an answer to the crash that it causes. */
const CRASH_MS = { least: 20, most: 120 }
const EVENT_MS = { least: 5, most: 50 }
const RESTART_MS = { least: 2000, most: 4000 }
const DATAGRAM_MS = { least: 1, most: 5 }
/** Time until an instance knows that a broken connection is not its own link's fault. */
const CHECK_MS = { least: 5, most: 60 }
/** Time until it is known whether a server that was not reached still writes its entry. */
const HEARTBEAT_CHECK_MS = 1800
const BAD_LOSS = 0.3
const USUAL_LOSS = 0.002

const RETRY_AFTER_TRIAL_MS = 300
const MAX_ATTEMPTS = 2
const CALLER_RETRIES = 1

interface Span {
  readonly least: number
  readonly most: number
}

/** What crashes servers besides levels. */
export enum OtherTrouble {
  Crash = 'crash',
  MassCrash = 'mass-crash',
  CrashLoop = 'crash-loop',
  CutOfAll = 'cut-of-all',
  Kill = 'kill',
  KillAll = 'kill-all',
  BadLinks = 'bad-links'
}

export interface CrashHistoryOptions {
  readonly seed: number
  readonly instances: number
  readonly servers: number
  /** Sound requests a second. */
  readonly soundPerS: number
  /** Requests a second with each level that crashes servers. */
  readonly crashingPerS: number
  /** Levels that crash servers; 0 for a history of other crashes. */
  readonly crashingLevels: number
  /** Whether these are first levels, which all requests below share. */
  readonly areFirst?: boolean
  /** Whether requests as a whole crash servers, which callers send again and again, in place of levels. */
  readonly areRequests?: boolean
  /** Share of the sound requests that are the same again and again; these have no levels. */
  readonly repeatedShare?: number
  readonly troubles: readonly OtherTrouble[]
  /** Between two troubles, milliseconds at most. */
  readonly troubleIntervalMs?: number
}

export interface CrashHistoryReport {
  readonly violations: readonly string[]
  /** Crashes that each level caused. */
  readonly crashes: readonly number[]
  /** Requests with levels that reached servers later than users allow, the most of any level. */
  readonly sentLate: number
  readonly counts: {
    readonly sound: number
    /** Sound requests that began at the first attempt after the bounds of users were over, and all of them. */
    readonly begunLate: number
    readonly askedLate: number
    /** Refused because one with the same level was on trial. */
    readonly deniedTrials: number
    readonly quarantinedRequests: number
    readonly datagrams: number
  }
}

/** As large as the smallest deployments. */
export const smallFleet = { instances: 6, servers: 6, soundPerS: 60 }

interface Node {
  readonly address: string
  protocol: CrashProtocol
  /** Rises when the process is killed. */
  life: number
  upFrom: number
}

interface Attempt {
  readonly request: Request
  readonly node: Node
  readonly life: number
  readonly sentAt: number
  readonly attempts: number
  answeredAt: number | undefined
  isOver: boolean
}

interface Server {
  incarnation: number
  upFrom: number
  readonly running: Set<Attempt>
}

interface Request {
  readonly causes: RequestCauses
  /** The level that crashes servers, if it has one. */
  readonly bad: string | undefined
  readonly runMs: number
  readonly isRepeatable: boolean
  readonly askedAt: number
  retries: number
}

export class CrashHistory {
  private readonly clock = VirtualClock.create()
  private readonly random: Random
  private readonly nodes: Node[] = []
  private readonly servers: Server[] = []
  private readonly badLevels: string[]
  private readonly store = new Map<string, Quarantine>()
  private readonly violations = new Set<string>()
  /** Times, by level. */
  private readonly crashTimes = new Map<string, number[]>()
  private readonly arrivalTimes = new Map<string, number[]>()
  private readonly counts = { sound: 0, begunLate: 0, askedLate: 0, deniedTrials: 0, quarantinedRequests: 0, datagrams: 0 }
  private loss = USUAL_LOSS
  private cutUntil = 0
  private drawn = 0
  private readonly startedAt: number

  private constructor (private readonly options: CrashHistoryOptions) {
    this.random = SeededRandom.create(options.seed)
    this.startedAt = this.clock.now()
    this.badLevels = Array.from({ length: options.crashingLevels }, (_, index) => options.areFirst === true ? `first-${index}` : `bad-${index}`)
    for (let index = 0; index < options.instances; index += 1) {
      const address = `i${index}`
      this.nodes.push({ address, protocol: this.createProtocol(address), life: 0, upFrom: 0 })
    }
    for (let index = 0; index < options.servers; index += 1) {
      this.servers.push({ incarnation: this.draw(), upFrom: 0, running: new Set() })
    }
  }

  static async play (options: CrashHistoryOptions): Promise<CrashHistoryReport> {
    const history = new CrashHistory(options)
    await history.run()
    return history.report()
  }

  private get now (): number {
    return this.clock.now()
  }

  private async run (): Promise<void> {
    const { soundPerS, crashingPerS } = this.options
    this.every(1000 / soundPerS, () => this.ask(this.createSound()))
    this.badLevels.forEach(level => {
      this.clock.at(this.startedAt + CRASHING_FROM_MS, () => this.every(1000 / crashingPerS, () => this.ask(this.createCrashing(level))))
    })
    this.nodes.forEach(node => this.sendHeartbeats(node))
    this.scheduleTrouble()
    for (let at = this.startedAt; at < this.startedAt + DURATION_MS; at += 100) {
      await this.clock.advanceTo(at)
    }
    this.nodes.forEach(({ protocol }) => protocol.stop())
  }

  private report (): CrashHistoryReport {
    const late = this.badLevels.map(level => this.sentLate(level))
    return { violations: [...this.violations], crashes: this.badLevels.map(level => (this.crashTimes.get(level) ?? []).length), sentLate: Math.max(0, ...late), counts: this.counts }
  }

  private sentLate (level: string): number {
    const last = this.lastUncounted(level) ?? Infinity
    return (this.arrivalTimes.get(level) ?? []).filter(at => at > last + CONTACT_MS).length
  }

  /** Time of the last crash by the level, or the request, that users do not count; undefined if there were fewer. */
  private lastUncounted (level: string): number | undefined {
    const kind = this.options.areRequests === true ? CauseKind.Request : CauseKind.Level
    return (this.crashTimes.get(level) ?? [])[UNCOUNTED_CRASHES[kind] - 1]
  }

  private createProtocol (address: string): CrashProtocol {
    const members = Array.from({ length: this.options.instances }, (_, index) => ({ address: `i${index}`, hash: hashNumber(`i${index}`) }))
    const deciders = watchersOf(hashNumber(SERVICE), members, DECIDERS).map(decider => decider.address)
    return CrashProtocol.create({
      clock: this.clock,
      log: { quarantineChanged: () => {}, crashReported: () => {}, heartbeatChecked: () => {}, causeProven: () => {}, levelSuspected: () => {}, trialDecided: () => {} },
      address: () => address,
      decidersOf: () => deciders,
      serverCount: () => this.options.servers,
      isBeating: async incarnation => {
        await waitUntil(this.clock, this.now + HEARTBEAT_CHECK_MS)
        return this.servers.some(server => server.incarnation === incarnation)
      },
      send: (to, message) => this.transmit(address, to, message),
      sendToAll: message => this.nodes.filter(node => node.address !== address).forEach(node => this.transmit(address, node.address, message)),
      onQuarantine: quarantine => this.checkQuarantine(quarantine),
      onDecided: quarantine => { this.store.set(`${quarantine.kind}/${quarantine.id}`, quarantine) }
    })
  }

  private checkQuarantine ({ kind, id }: Quarantine): void {
    const isBad = this.badLevels.includes(id)
    if (!isBad && (kind === CauseKind.Level || id.startsWith(REPEATED))) {
      this.violations.add(`sound ${kind} ${id} was quarantined`)
    }
    if (isBad || kind === CauseKind.Level) {
      this.servers.forEach(({ running }) => running.forEach(attempt => {
        if (attempt.answeredAt === undefined && attempt.request.bad === id) {
          this.end(attempt)
        }
      }))
    }
  }

  private transmit (from: string, to: string, message: CrashMessage): void {
    this.counts.datagrams += 1
    const node = this.nodes.find(({ address }) => address === to)
    if (!node || this.random.next() < this.loss) {
      return
    }
    const { life } = node
    this.clock.at(this.now + this.between(DATAGRAM_MS), () => {
      if (node.life === life && this.isUp(node)) {
        node.protocol.receive(message)
      }
    })
  }

  private sendHeartbeats (node: Node): void {
    this.every(1000, () => {
      const quarantines = this.isUp(node) ? node.protocol.quarantinesToAnnounce() : []
      if (quarantines.length > 0) {
        const receivers = this.nodes.length > 24 ? Array.from({ length: 16 }, () => this.nodes[this.random.below(this.nodes.length)] as Node) : this.nodes
        receivers.forEach(({ address }) => this.transmit(node.address, address, { kind: DatagramKind.QuarantineNotice, address: node.address, service: '', quarantines }))
      }
    })
  }

  private createSound (): Request {
    this.counts.sound += 1
    const { repeatedShare = 0 } = this.options
    if (repeatedShare > 0 && this.random.next() < repeatedShare) {
      return this.createRepeated()
    }
    const number = this.draw()
    const isShort = this.random.next() < 0.5
    const first = `first-${this.options.areFirst === true ? this.badLevels.length + this.random.below(FIRST_LEVELS) : this.random.below(FIRST_LEVELS)}`
    // A few second levels are asked for often.
    const second = `second-${Math.floor(SECOND_LEVELS * this.random.next() ** 2)}`
    return {
      causes: { request: `r${number}`, account: `a${this.random.below(ACCOUNTS)}`, levels: isShort ? [first, second] : ['common'] },
      bad: undefined,
      runMs: this.between(isShort ? SHORT_RUN_MS : LONG_RUN_MS),
      isRepeatable: isShort,
      askedAt: this.now,
      retries: CALLER_RETRIES
    }
  }

  private createRepeated (): Request {
    const number = this.random.below(REPEATED_REQUESTS)
    return { causes: { request: `${REPEATED}${number}`, account: `a${number}`, levels: [] }, bad: undefined, runMs: this.between(SHORT_RUN_MS), isRepeatable: true, askedAt: this.now, retries: CALLER_RETRIES }
  }

  private createCrashing (level: string): Request {
    if (this.options.areRequests === true) {
      return { causes: { request: level, account: 'a0', levels: [] }, bad: level, runMs: 0, isRepeatable: true, askedAt: this.now, retries: CALLER_RETRIES }
    }
    const levels = this.options.areFirst === true ? [level, `second-${this.random.below(SECOND_LEVELS)}`] : [`first-${hashNumber(level) % FIRST_LEVELS}`, level]
    const account = this.options.seed % 2 === 0 ? 'a0' : `a${this.random.below(ACCOUNTS)}`
    return { causes: { request: `r${this.draw()}`, account, levels }, bad: level, runMs: 0, isRepeatable: true, askedAt: this.now, retries: CALLER_RETRIES }
  }

  /** A caller sends the request to an instance that is up. */
  private ask (request: Request): void {
    const up = this.nodes.filter(node => this.isUp(node))
    const node = up[this.random.below(Math.max(1, up.length))]
    const isLate = request.bad === undefined && request.retries === CALLER_RETRIES && request.askedAt === this.now && this.isAfterBounds()
    if (isLate) {
      this.counts.askedLate += 1
    }
    if (!node) {
      return
    }
    const { life, protocol } = node
    const refused = protocol.findQuarantine(request.causes)
    if (refused !== undefined) {
      protocol.recordRefusal(refused)
      this.counts.quarantinedRequests += request.bad === undefined ? 1 : 0
      return
    }
    protocol.claimTrial(request.causes, SERVICE, isGranted => {
      if (node.life !== life) {
        return
      }
      if (isGranted) {
        this.send(request, node, 1, isLate)
        return
      }
      this.counts.deniedTrials += request.bad === undefined && this.isAnyServerUp() ? 1 : 0
      this.askAgain(request, RETRY_AFTER_TRIAL_MS)
    })
  }

  private askAgain (request: Request, afterMs: number): void {
    if (request.retries > 0) {
      request.retries -= 1
      this.clock.at(this.now + afterMs, () => this.ask(request))
    }
  }

  private isAfterBounds (): boolean {
    const last = this.badLevels.map(level => this.lastUncounted(level) ?? (this.crashTimes.get(level) ?? []).at(-1) ?? Infinity)
    return this.badLevels.length > 0 && this.now > Math.max(...last) + 2 * CONTACT_MS
  }

  private send (request: Request, node: Node, attempts: number, isLate = false): void {
    if (node.protocol.findQuarantine(request.causes) !== undefined) {
      return
    }
    const up = this.cutUntil > this.now ? [] : this.servers.filter(({ upFrom }) => upFrom <= this.now)
    const server = up[this.random.below(Math.max(1, up.length))]
    if (!server) {
      return
    }
    if (isLate) {
      this.counts.begunLate += 1
    }
    if (request.bad !== undefined) {
      this.timesOf(this.arrivalTimes, request.bad).push(this.now)
    }
    const attempt: Attempt = { request, node, life: node.life, sentAt: this.now, attempts, answeredAt: undefined, isOver: false }
    const { incarnation } = server
    server.running.add(attempt)
    this.clock.at(this.now + this.between(QUEUE_MS), () => {
      if (!attempt.isOver) {
        const answeredAt = this.now
        attempt.answeredAt = answeredAt
        this.clock.at(answeredAt + PROVEN_AFTER_MS + this.between(EVENT_MS), () => {
          if (!attempt.isOver && node.life === attempt.life) {
            node.protocol.recordProgress(request.causes, SERVICE, answeredAt)
          }
        })
        this.clock.at(this.now + (request.bad === undefined ? request.runMs : this.between(CRASH_MS)), () => this.finish(attempt, server, incarnation))
      }
    })
  }

  private finish (attempt: Attempt, server: Server, incarnation: number): void {
    const { request, node, sentAt } = attempt
    if (attempt.isOver) {
      return
    }
    if (request.bad !== undefined) {
      this.timesOf(this.crashTimes, request.bad).push(this.now)
      this.crash(server)
      return
    }
    this.end(attempt)
    server.running.delete(attempt)
    node.protocol.recordAnswer(request.causes, SERVICE, incarnation, sentAt)
  }

  private end (attempt: Attempt): void {
    attempt.isOver = true
    this.servers.forEach(({ running }) => running.delete(attempt))
  }

  private crash (server: Server): void {
    if (server.upFrom > this.now) {
      return
    }
    const { incarnation } = server
    const lost = [...server.running]
    server.running.clear()
    server.upFrom = this.now + this.between(RESTART_MS)
    server.incarnation = this.draw()
    lost.forEach(attempt => this.lose(attempt, incarnation, true))
  }

  private lose (attempt: Attempt, incarnation: number, hasEnded: boolean): void {
    const { node, life, request, sentAt, answeredAt, attempts } = attempt
    attempt.isOver = true
    if (node.life !== life || !this.isUp(node)) {
      return
    }
    const lostAt = this.now
    this.clock.at(lostAt + this.between(CHECK_MS), () => {
      if (node.life === life) {
        node.protocol.recordLoss(request.causes, { service: SERVICE, server: incarnation, sentAt, brokenAt: lostAt, lostAt, answeredAt, hasEnded })
      }
    })
    if (request.isRepeatable && attempts < MAX_ATTEMPTS && node.protocol.mayRetry(request.causes)) {
      this.clock.at(lostAt + 1, () => {
        if (node.life === life) {
          this.send(request, node, attempts + 1)
        }
      })
    } else {
      this.askAgain(request, 20)
    }
  }

  private scheduleTrouble (): void {
    const { troubles, troubleIntervalMs = 6000 } = this.options
    if (troubles.length === 0) {
      return
    }
    this.clock.at(this.now + 300 + this.random.below(troubleIntervalMs), () => {
      this.begin(troubles[this.random.below(troubles.length)] as OtherTrouble)
      this.scheduleTrouble()
    })
  }

  private begin (trouble: OtherTrouble): void {
    const actions: Readonly<Record<OtherTrouble, () => void>> = {
      [OtherTrouble.Crash]: () => this.crash(this.drawServer()),
      [OtherTrouble.MassCrash]: () => {
        const spreadMs = this.random.below(2) === 0 ? 5 : 800
        this.servers.filter(() => this.random.next() < 0.6).forEach(server => this.clock.at(this.now + this.random.below(spreadMs), () => this.crash(server)))
      },
      [OtherTrouble.CrashLoop]: () => this.crashAgain(this.drawServer(), 4),
      [OtherTrouble.CutOfAll]: () => this.cutAll(),
      [OtherTrouble.Kill]: () => this.kill(this.nodes[this.random.below(this.nodes.length)] as Node),
      [OtherTrouble.KillAll]: () => this.nodes.forEach(node => this.kill(node)),
      [OtherTrouble.BadLinks]: () => {
        this.loss = BAD_LOSS
        this.clock.at(this.now + this.random.below(5000), () => { this.loss = USUAL_LOSS })
      }
    }
    actions[trouble]()
  }

  private drawServer (): Server {
    return this.servers[this.random.below(this.servers.length)] as Server
  }

  /** The server crashes again a moment after each start. */
  private crashAgain (server: Server, times: number): void {
    this.crash(server)
    if (times > 0) {
      this.clock.at(server.upFrom + 200 + this.random.below(1500), () => this.crashAgain(server, times - 1))
    }
  }

  /** All instances lose all connections to the servers, which run on. */
  private cutAll (): void {
    this.cutUntil = this.now + 500 + this.random.below(5000)
    this.servers.forEach(server => {
      const lost = [...server.running]
      server.running.clear()
      lost.forEach(attempt => this.lose(attempt, server.incarnation, false))
    })
  }

  private kill (node: Node): void {
    node.protocol.stop()
    node.life += 1
    node.upFrom = this.now + 300 + this.random.below(1200)
    node.protocol = this.createProtocol(node.address)
    this.servers.forEach(({ running }) => running.forEach(attempt => {
      if (attempt.node === node) {
        this.end(attempt)
      }
    }))
    const { life } = node
    this.clock.at(node.upFrom - 1, () => {
      if (node.life === life) {
        node.protocol.applyQuarantines([...this.store.values()].map(({ expiresAt, ...quarantine }) => ({ ...quarantine, leftMs: expiresAt - this.now })))
      }
    })
  }

  private isAnyServerUp (): boolean {
    return this.cutUntil <= this.now && this.servers.some(({ upFrom }) => upFrom <= this.now)
  }

  private isUp ({ upFrom }: Node): boolean {
    return upFrom <= this.now
  }

  /** Runs the task again and again, at random intervals with this mean. */
  private every (meanMs: number, task: () => void): void {
    this.clock.at(this.now + meanMs * 2 * this.random.next(), () => {
      task()
      this.every(meanMs, task)
    })
  }

  private timesOf (times: Map<string, number[]>, level: string): number[] {
    const known = times.get(level) ?? []
    times.set(level, known)
    return known
  }

  private between ({ least, most }: Span): number {
    return least + this.random.next() * (most - least)
  }

  private draw (): number {
    this.drawn += 1
    return this.drawn
  }
}
