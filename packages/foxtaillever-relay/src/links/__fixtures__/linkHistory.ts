/**
 * Plays a drawn history of a fleet whose links to servers break and return and whose
 * servers fail or fall silent for a moment, with the link monitor of each instance, and checks what they conclude.
 */
import { SeededRandom } from 'foxtaillever-core'
import { LinkState } from 'foxtaillever-policy/relay/brokenLinks'
import { VirtualClock } from 'foxtaillever-testing/virtualClock'
import { ServerState } from '../../model/listedServer.js'
import { ServerDirectory } from '../../servers/serverDirectory.js'
import { Suspicion } from '../linkCheck.js'
import { LinkMonitor } from '../linkMonitor.js'

const INSTANCES = 4
const SERVERS = ['a1', 'a2', 'b1', 'b2', 'c1', 'c2'] as const
const HISTORY_MS = 20_000

/** Between two requests of an instance, milliseconds. */
const REQUEST_INTERVAL_MS = 20
const ANSWER_MS = 10
const PEER_CALL_MS = 2

/** A hanging request is given up after this, milliseconds. */
const PATIENCE_MS = 800

const CUT_MS = { least: 1500, most: 5000 }
const CRASH_MS = { least: 300, most: 2500 }
const SILENCE_MS = { least: 200, most: 1200 }

/** A cut instance knows of it after this, and that its links are back, milliseconds. */
const NOTICED_AFTER_MS = 1000
const SOUND_AFTER_MS = 2000

/** A failure is concluded at most this long after the server is up again, milliseconds. */
const CONCLUDED_WITHIN_MS = 1200

enum Path {
  Works = 'works',
  Refuses = 'refuses',
  Hangs = 'hangs',
  /** Works, but the server answers later. */
  Silent = 'silent'
}

interface Instance {
  readonly name: string
  readonly directory: ServerDirectory
  readonly monitor: LinkMonitor
  /** Paths to failure domains. */
  readonly paths: Map<string, Path>
  cutSince: number
  soundSince: number
  isCutWholly: boolean
}

export class LinkHistory {
  private readonly clock = VirtualClock.create()
  private readonly random: SeededRandom
  private readonly instances: Instance[] = []
  /** When a server was last down or silent, milliseconds of Unix time; Infinity while it is. */
  private readonly downAt = new Map<string, number>()
  /** Until when silent servers send nothing, milliseconds of Unix time. */
  private readonly silentUntil = new Map<string, number>()
  private readonly violations = new Set<string>()

  private constructor (seed: number) {
    this.random = SeededRandom.create(seed)
    for (let index = 0; index < INSTANCES; index += 1) {
      this.instances.push(this.createInstance(`i${index}`))
    }
  }

  /** @returns what was broken, each as a sentence. */
  static async play (seed: number): Promise<readonly string[]> {
    const history = new LinkHistory(seed)
    return await history.run()
  }

  private async run (): Promise<readonly string[]> {
    const { clock, instances } = this
    const until = clock.now() + HISTORY_MS
    instances.forEach(instance => this.sendRequests(instance, until))
    this.scheduleCut(until - SOUND_AFTER_MS - CUT_MS.most)
    this.scheduleCrash(until - SOUND_AFTER_MS - CRASH_MS.most)
    await clock.advanceTo(until)
    instances.filter(({ monitor }) => monitor.state !== LinkState.Sound).forEach(({ name }) => this.violations.add(`${name} takes its links for broken at the end`))
    instances.forEach(({ monitor }) => monitor.stop())
    return [...this.violations]
  }

  private createInstance (name: string): Instance {
    const { clock, random } = this
    const directory = ServerDirectory.create({ onChanged: () => {}, now: () => clock.now() })
    SERVERS.forEach((id, offset) => directory.applyEntry({ id, startedAt: 0, service: 's', address: '127.0.0.1:1', failureDomain: id.slice(0, 1), slots: 8, state: ServerState.Ready, coldLeftMs: 0, softwareVersion: 'v1', weights: new Map() }, offset))
    const monitor = LinkMonitor.create({
      clock,
      random,
      log: { belief: () => {} },
      directory: () => directory,
      probe: async ({ listed: { id } }, deadline) => await this.probe(instance, id, deadline),
      peers: () => this.usablePeersOf(instance).map(peer => ({ peer, order: random.next() })).sort((a, b) => a.order - b.order).map(({ peer }) => peer.name),
      probeThrough: async (peer, { hash }) => {
        await this.wait(PEER_CALL_MS)
        const finding = await (this.instances.find(({ name }) => name === peer) as Instance).monitor.findFor(hash)
        await this.wait(PEER_CALL_MS)
        return finding
      },
      onStateChanged: () => {},
      onBroken: () => {}
    })
    const instance: Instance = { name, directory, monitor, paths: new Map(), cutSince: Infinity, soundSince: 0, isCutWholly: false }
    return instance
  }

  private async probe (instance: Instance, id: string, deadline: number): Promise<boolean> {
    const { clock, silentUntil } = this
    const path = this.pathTo(instance, id)
    const answersAt = path === Path.Silent ? (silentUntil.get(id) ?? 0) : path === Path.Hangs ? Infinity : clock.now()
    await this.wait(Math.min(deadline, answersAt + ANSWER_MS) - clock.now())
    return path !== Path.Refuses && answersAt + ANSWER_MS <= deadline
  }

  /** Other instances with sound links; only where there is none, those that reach a part of the servers. */
  private usablePeersOf (instance: Instance): readonly Instance[] {
    const peers = this.instances.filter(peer => peer !== instance)
    const sound = peers.filter(({ monitor }) => monitor.state === LinkState.Sound)
    return sound.length > 0 ? sound : peers.filter(({ monitor }) => monitor.state === LinkState.Partial)
  }

  private async wait (ms: number): Promise<void> {
    await new Promise<void>(resolve => this.clock.at(this.clock.now() + ms, resolve))
  }

  private draw ({ least, most }: { readonly least: number, readonly most: number }): number {
    return least + this.random.below(most - least)
  }

  private isUp (id: string): boolean {
    return this.downAt.get(id) !== Infinity
  }

  private pathTo ({ paths }: Instance, id: string): Path {
    const path = paths.get(id.slice(0, 1)) ?? Path.Works
    if (path !== Path.Works || this.isUp(id)) {
      return path
    }
    return (this.silentUntil.get(id) ?? 0) > this.clock.now() ? Path.Silent : Path.Refuses
  }

  private sendRequests (instance: Instance, until: number): void {
    const { clock, random } = this
    if (clock.now() >= until) {
      return
    }
    clock.at(clock.now() + REQUEST_INTERVAL_MS, () => this.sendRequests(instance, until))
    const server = instance.directory.get(SERVERS[random.below(SERVERS.length)] as string)
    this.checkState(instance)
    if (server === undefined || instance.monitor.brokenSince(server) !== undefined) {
      return
    }
    const { id } = server.listed
    const conclusions = { onServerAtFault: () => this.checkConclusion(instance, id) }
    const endWait = instance.monitor.beginWait(server)
    const beganAt = clock.now()
    const lose = (): void => {
      endWait()
      instance.monitor.suspect(server, Suspicion.Unresponsive, beganAt, conclusions)
    }
    const answerAt = (answeredAt: number): void => {
      clock.at(answeredAt, () => {
        if (instance.paths.has(server.listed.failureDomain)) {
          clock.at(Math.max(clock.now(), beganAt + PATIENCE_MS), lose)
          return
        }
        instance.directory.recordHeard(server)
        endWait()
      })
    }
    const actions: Readonly<Record<Path, () => void>> = {
      [Path.Works]: () => answerAt(clock.now() + ANSWER_MS),
      [Path.Silent]: () => answerAt((this.silentUntil.get(id) ?? 0) + ANSWER_MS),
      [Path.Refuses]: () => {
        endWait()
        instance.monitor.suspect(server, Suspicion.Unreachable, beganAt, conclusions)
      },
      [Path.Hangs]: () => clock.at(clock.now() + PATIENCE_MS, lose)
    }
    actions[this.pathTo(instance, id)]()
  }

  /** Nothing may be concluded about a server that is up. */
  private checkConclusion ({ name }: Instance, id: string): void {
    if ((this.downAt.get(id) ?? 0) + CONCLUDED_WITHIN_MS < this.clock.now()) {
      this.violations.add(`${name} concluded that ${id} had failed, which was up`)
    }
  }

  private checkState ({ name, cutSince, soundSince, isCutWholly, monitor }: Instance): void {
    const now = this.clock.now()
    const isSomeoneSound = this.instances.some(other => other.cutSince === Infinity)
    if (isCutWholly && isSomeoneSound && cutSince + NOTICED_AFTER_MS < now && monitor.state !== LinkState.Cut) {
      this.violations.add(`${name} has not noticed that its links are cut`)
    }
    if (soundSince + SOUND_AFTER_MS < now && cutSince === Infinity && monitor.state !== LinkState.Sound) {
      this.violations.add(`${name} takes sound links for broken`)
    }
  }

  /** Cuts some instances from all servers, or one from those of a failure domain. */
  private scheduleCut (until: number): void {
    const { clock, random, instances } = this
    if (clock.now() >= until) {
      return
    }
    const isWhole = random.below(2) === 0
    const drawn = isWhole ? instances.filter(() => random.below(2) === 0) : [instances[random.below(INSTANCES)] as Instance]
    const path = random.below(2) === 0 ? Path.Hangs : Path.Refuses
    const domains = isWhole ? ['a', 'b', 'c'] : ['a']
    drawn.forEach(instance => {
      domains.forEach(domain => instance.paths.set(domain, path))
      Object.assign(instance, { cutSince: clock.now(), isCutWholly: isWhole })
    })
    clock.at(clock.now() + this.draw(CUT_MS), () => {
      drawn.forEach(instance => {
        instance.paths.clear()
        Object.assign(instance, { cutSince: Infinity, soundSince: clock.now(), isCutWholly: false })
      })
      clock.at(clock.now() + this.draw(CRASH_MS), () => this.scheduleCut(until))
    })
  }

  /** A server fails and starts again, or is silent and goes on. */
  private scheduleCrash (last: number): void {
    const { clock, random, downAt, silentUntil } = this
    if (clock.now() >= last) {
      return
    }
    const id = SERVERS[random.below(SERVERS.length)] as string
    const isSilent = random.below(2) === 0
    const until = clock.now() + this.draw(isSilent ? SILENCE_MS : CRASH_MS)
    downAt.set(id, Infinity)
    if (isSilent) {
      silentUntil.set(id, until)
    }
    clock.at(until, () => {
      downAt.set(id, clock.now())
      clock.at(clock.now() + this.draw(CRASH_MS), () => this.scheduleCrash(last))
    })
  }
}
