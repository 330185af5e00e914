/** Requests of a soak, and what may be said against each once all is quiet. */
import type { Random } from 'foxtaillever-core'
import type { CallerReply } from 'foxtaillever-platform/__fixtures__/caller'
import { sentRequestOf, type SentRequest } from 'foxtaillever-platform/__fixtures__/statementOracle'
import { Path, promptHeaders, wholeStream } from 'foxtaillever-platform/__fixtures__/relayFleet'
import type { Disturbances } from './disturbances.js'
import type { SoakedFleet } from './soakedFleet.js'
import { LASTING_KEYS } from './soakOperator.js'

const EVENTS = 20

/** How long callers wait, milliseconds. */
const PATIENCE_MS = 4000

/** These promise that the request has not run and never will. */
const notRun = new Set([408, 421, 429, 503])

const paths = [Path.Stream, Path.Once, Path.Repeatable] as const

/** A configuration is in force everywhere after this, milliseconds. */
const APPLIED_MS = 2000

/** Part of the callers that leave in the middle of their answer. */
const LEAVING = 0.1

/** When they leave, milliseconds. */
const LEAVE_AFTER_MS = 60

/** Part of the requests with a key that comes and goes. */
const PASSING_KEYS = 0.3

interface Sent {
  readonly id: string
  readonly path: Path
  readonly key: string
  /** Index of the instance. */
  readonly instance: number
  /** Milliseconds of Unix time. */
  readonly at: number
  readonly answeredAt: number
  readonly reply: CallerReply
}

export class PlatformLoad {
  private readonly sent: Sent[] = []
  private number = 0

  private constructor (private readonly fleet: SoakedFleet, private readonly random: Random, private readonly disturbances: Disturbances) {}

  static create (fleet: SoakedFleet, random: Random, disturbances: Disturbances): PlatformLoad {
    return new PlatformLoad(fleet, random, disturbances)
  }

  async send (): Promise<void> {
    const { fleet, random } = this
    const id = `q${this.number++}`
    const path = paths[random.below(paths.length)] as Path
    const instance = random.below(fleet.instances.length)
    const { address } = fleet.instances[instance] ?? { address: '' }
    const headers = path === Path.Stream ? promptHeaders(id, EVENTS) : {}
    const key = this.drawKey()
    const at = fleet.clock.now()
    const leaveAfterMs = random.next() < LEAVING ? LEAVE_AFTER_MS : undefined
    const reply = await fleet.caller.send({ address, id, path: `${path}x`, key, headers, body: 'a body', patienceMs: PATIENCE_MS, disconnectAfterMs: leaveAfterMs })
    this.sent.push({ id, path, key, instance, at, answeredAt: fleet.clock.now(), reply })
  }

  /** One that is in force for good, or one of the last three that came and went. */
  private drawKey (): string {
    const { random, fleet } = this
    const lasting = Object.keys(LASTING_KEYS)
    const passing = fleet.operator.terms.slice(-3).map(({ key }) => key)
    const keys = random.next() < PASSING_KEYS ? passing : lasting
    return keys[random.below(keys.length)] ?? ''
  }

  /** All of them, for oracles. */
  get requests (): readonly SentRequest[] {
    return this.sent.map(({ at: sentAt, reply: { headers }, ...sent }) => sentRequestOf({ ...sent, sentAt, headers }))
  }

  /** Ends of requests by status; 0 for those without an answer. */
  get outcomes (): Readonly<Record<string, number>> {
    const outcomes: Record<string, number> = {}
    this.sent.forEach(({ reply }) => { outcomes[reply.status] = (outcomes[reply.status] ?? 0) + 1 })
    return outcomes
  }

  /** Broken promises, each as a sentence. */
  complaints (): string[] {
    return this.sent.flatMap(sent => this.check(sent))
  }

  /** Whether the key's being in force, or not, was known everywhere when the request came. */
  private isKeyKnown ({ at, key }: Sent, isInForce: boolean): boolean {
    const term = this.fleet.operator.terms.find(term => term.key === key)
    const { from, until } = term ?? { from: -Infinity, until: Infinity }
    return isInForce
      ? from + APPLIED_MS <= at && until > at + PATIENCE_MS && (term === undefined || this.disturbances.wasCalm(from, at))
      : until + APPLIED_MS <= at && this.disturbances.wasCalm(until, at)
  }

  private check (sent: Sent): string[] {
    const { id, path, reply: { status, isWhole, body, isStamped } } = sent
    const runs = this.fleet.platform.servers.reduce((sum, server) => sum + server.runsOf(id), 0)
    const whole = wholeStream(id, EVENTS)
    const isStream = path === Path.Stream
    const isRight = isStream ? body === whole : body.startsWith(`done ${id} `)
    const claims: ReadonlyArray<readonly [string, boolean]> = [
      ['ran more than once', path !== Path.Once || runs <= 1],
      ['was told that it did not run, and has', !notRun.has(status) || runs === 0],
      ['got a whole answer with wrong bytes', status !== 200 || !isWhole || isRight],
      ['got a success without the server\'s stamp', status !== 200 || isStamped],
      ['got events out of order or cut', !isStream || status !== 200 || whole.startsWith(body.slice(0, body.lastIndexOf('\n\n') + 2))],
      ['was denied though it is allowed', ![400, 401, 403, 404].includes(status) || !this.isKeyKnown(sent, true)],
      ['ran though its key was taken away', runs === 0 || !this.isKeyKnown(sent, false)]
    ]
    return claims.filter(([, holds]) => !holds).map(([claim]) => `${id} (${path}) ${claim}: status ${status}, ${runs} runs`)
  }
}
