/** A history of a fleet that shares two backend servers, drawn from a seed: instances, datagrams and servers fail while more requests arrive than the servers can read. */
import { SeededRandom, type Random } from 'foxtaillever-core'
import { AdmissionFleet, type FleetNode, type FleetRequest } from './admissionFleet.js'
import { AdmissionOracle, LARGEST, SMALLEST } from './admissionOracle.js'
import { capacity } from './simulatedServer.js'

const CHANGES = 8
const MIN_PAUSE_MS = 200
const MAX_PAUSE_MS = 1000

/** From the last fault to the decision on every request: the required bound, milliseconds. */
const RECOVERY_MS = 2000

/** Length of the part without faults, milliseconds. */
const UNDISTURBED_MS = 1500

/** Longest time until the latest start of a request, milliseconds. */
const MAX_START_IN_MS = 1500

/** An instance that does not answer is no member after this many milliseconds. */
const LEAVING_MS = 2500

/** Longest time until all instances know of a change of the members, milliseconds. */
const MAX_LEARNING_MS = 1000

/** Share of the renewals at which a request chooses the other server. */
const MOVING_SHARE = 0.2

export interface AdmissionReport {
  readonly seed: number
  /** Names of the changes, in order. */
  readonly changes: readonly string[]
  readonly violations: readonly string[]
  readonly requests: number
  readonly worstExcess: number
}

/** An event in a history. */
type Change = (history: AdmissionHistory) => void

export class AdmissionHistory {
  readonly random: Random
  readonly oracle: AdmissionOracle
  /** Load, as a share of what the servers can read. */
  factor = 0.9
  /** When the last fault ends, milliseconds of Unix time. */
  private faultsEndAt = 0
  private readonly objectiveMs: number

  private constructor (readonly fleet: AdmissionFleet, private readonly seed: number) {
    this.random = SeededRandom.create(seed)
    this.oracle = AdmissionOracle.create(fleet)
    this.oracle.isOrderChecked = this.random.next() < 0.7
    this.objectiveMs = this.oracle.isOrderChecked ? 60_000 : 1215
    fleet.runMs = this.random.next() < 0.5 ? 250 : 3000
    fleet.onQueue = request => this.renew(request)
  }

  static async play (seed: number): Promise<AdmissionReport> {
    const history = new AdmissionHistory(await AdmissionFleet.start(4 + seed % 5, { servers: 2, seed }), seed)
    return await history.run()
  }

  draw<T> (all: readonly T[]): T {
    return all[this.random.below(all.length)] as T
  }

  /** Undoes a fault after a while. */
  undoIn (minMs: number, maxMs: number, task: () => void): void {
    const { clock } = this.fleet
    const at = clock.now() + minMs + this.random.below(maxMs - minMs + 1)
    this.faultsEndAt = Math.max(this.faultsEndAt, at)
    clock.at(at, task)
  }

  up (): FleetNode[] {
    return this.fleet.nodes.filter(({ isDown, isFrozen }) => !isDown && !isFrozen)
  }

  /** An instance that is up, in most cases the owner or the standby of a server. */
  drawNode (): FleetNode {
    const server = this.draw(this.fleet.servers)
    const up = this.up()
    const watchers = this.fleet.watchersOf(server).filter(node => up.includes(node))
    return this.draw(this.random.next() < 0.7 && watchers.length > 0 ? watchers : up)
  }

  /** All instances learn of the member's state at different times. */
  spreadMembership (member: FleetNode, fromMs: number): void {
    this.fleet.nodes.forEach(node => this.undoIn(fromMs, fromMs + MAX_LEARNING_MS, () => this.refreshMembers(node, member)))
  }

  /** Sets the members as an instance knows them once it has learned of the changed one. */
  private refreshMembers (node: FleetNode, changed: FleetNode): void {
    const { nodes } = this.fleet
    const known = nodes.filter(other => other === changed ? !other.isDown : node.members.has(other.address)).map(({ address }) => address)
    node.members = new Set([node.address, ...known])
    if (node.watchers.setMembers(nodes.map(({ address }) => address).filter(address => node.members.has(address)))) {
      this.oracle.forget(node)
    }
  }

  private async run (): Promise<AdmissionReport> {
    const changes: string[] = []
    const { fleet, oracle, seed } = this
    for (let index = 0; index < CHANGES; index++) {
      // A fleet without instances serves nobody, and shows nothing.
      const name = this.up().length > 2 ? this.draw(Object.keys(changesByName)) : 'burst'
      changes.push(name)
      changesByName[name]?.(this)
      await this.load(MIN_PAUSE_MS + this.random.below(MAX_PAUSE_MS))
    }
    await this.load(this.faultsEndAt - fleet.clock.now())
    const endedAt = fleet.clock.now()
    await fleet.pass(RECOVERY_MS + MAX_START_IN_MS)
    oracle.checkRequests(endedAt, RECOVERY_MS)
    await this.runUndisturbed()
    fleet.stopAll()
    return { seed, changes, violations: oracle.violations, requests: fleet.requests.length, worstExcess: oracle.worstExcess }
  }

  /** After the last fault the owners alone decide, and none of them admits too much. */
  private async runUndisturbed (): Promise<void> {
    this.factor = 2
    this.oracle.isUndisturbed = true
    const from = this.fleet.clock.now()
    await this.load(UNDISTURBED_MS)
    await this.fleet.pass(RECOVERY_MS)
    this.oracle.checkOwners(from)
    this.oracle.checkRequests(from + UNDISTURBED_MS, RECOVERY_MS)
  }

  /** Sends requests at random times for a while. */
  private async load (ms: number): Promise<void> {
    const { fleet, random } = this
    const until = fleet.clock.now() + ms
    const meanMs = (SMALLEST + LARGEST) / 2 / capacity.tokensPerMs / fleet.servers.length
    while (fleet.clock.now() < until) {
      await fleet.pass(Math.min(until - fleet.clock.now(), -Math.log(1 - random.next()) * meanMs / this.factor))
      const up = this.up()
      const ready = fleet.servers.filter(({ isReady }) => isReady)
      if (up.length > 0 && ready.length > 0) {
        const tokens = SMALLEST + random.below(LARGEST - SMALLEST + 1)
        const [node, server] = [this.draw(up), this.draw(ready)]
        // As before each choice of a server; an instance so notices that the first watcher does not answer.
        node.load.query({ servers: [server.hash] }).catch(() => {})
        fleet.request(node, server, { tokens, heldTokens: tokens, priority: random.below(4), account: this.draw(['acme', 'birch', 'cedar']), objectiveMs: this.objectiveMs, startInMs: 300 + random.below(MAX_START_IN_MS - 300) })
      }
    }
  }

  /** Chooses a server again, as the caller of the protocol does. */
  private renew (request: FleetRequest): void {
    const { fleet, random } = this
    const other = fleet.servers.find(server => server !== request.server && server.isReady)
    if (other !== undefined && (!request.server.isReady || random.next() < MOVING_SHARE)) {
      request.pending?.cancel()
      request.server = other
      fleet.ask(request)
    } else {
      request.pending?.renew(result => fleet.handleResult(request, result))
    }
  }
}

const changesByName: Readonly<Record<string, Change>> = {
  burst: history => {
    history.factor = 2.5
    history.undoIn(500, 1500, () => { history.factor = 0.9 })
  },
  kill: history => {
    const node = history.drawNode()
    history.oracle.forget(node)
    history.fleet.kill(node)
    history.spreadMembership(node, LEAVING_MS)
    history.undoIn(1500, 4000, () => {
      history.fleet.boot(node)
      history.spreadMembership(node, 0)
    })
  },
  freeze: history => {
    const node = history.drawNode()
    node.isFrozen = true
    history.undoIn(50, 2500, () => {
      history.oracle.forget(node)
      history.fleet.thaw(node)
    })
  },
  cut: history => {
    const nodes = history.random.next() < 0.5 ? [history.drawNode()] : history.fleet.nodes.filter(() => history.random.next() < 0.5)
    nodes.forEach(node => { node.side = 1 })
    history.undoIn(300, 2400, () => nodes.forEach(node => { node.side = 0 }))
  },
  twoOwners: history => {
    const unknown = history.drawNode()
    history.fleet.nodes.filter(node => node !== unknown && history.random.next() < 0.5).forEach(node => {
      node.members.delete(unknown.address)
      node.watchers.setMembers(history.fleet.nodes.map(({ address }) => address).filter(address => node.members.has(address)))
      history.oracle.forget(node)
    })
    history.spreadMembership(unknown, 500)
  },
  lossy: history => {
    Object.assign(history.fleet.faults, { lost: 0.03, doubled: 0.03 })
    history.undoIn(1000, 2000, () => Object.assign(history.fleet.faults, { lost: 0, doubled: 0 }))
  },
  stall: history => {
    const server = history.draw(history.fleet.servers)
    server.stopReading()
    history.undoIn(200, 1200, () => server.resumeReading())
  },
  serverFails: history => {
    const server = history.draw(history.fleet.servers)
    server.isReady = false
    server.running.forEach(request => history.fleet.end(request))
    history.fleet.nodes.forEach(node => history.oracle.forget(node))
    history.undoIn(500, 1500, () => { server.isReady = true })
  }
}
