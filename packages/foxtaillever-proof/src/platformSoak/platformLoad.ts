/** Requests of a soak, and what may be said against each once all is quiet. */
import type { Random } from 'foxtaillever-core'
import type { CallerReply } from 'foxtaillever-platform/__fixtures__/caller'
import { Path, promptHeaders, wholeStream } from 'foxtaillever-platform/__fixtures__/relayFleet'
import type { SoakedFleet } from './soakedFleet.js'

const EVENTS = 20

/** How long callers wait, milliseconds. */
const PATIENCE_MS = 4000

/** These promise that the request has not run and never will. */
const notRun = new Set([408, 421, 429, 503])

const paths = [Path.Stream, Path.Once, Path.Repeatable] as const

interface Sent {
  readonly id: string
  readonly path: Path
  readonly reply: CallerReply
}

export class PlatformLoad {
  private readonly sent: Sent[] = []
  private number = 0

  private constructor (private readonly fleet: SoakedFleet, private readonly random: Random) {}

  static create (fleet: SoakedFleet, random: Random): PlatformLoad {
    return new PlatformLoad(fleet, random)
  }

  async send (): Promise<void> {
    const { fleet, random } = this
    const id = `q${this.number++}`
    const path = paths[random.below(paths.length)] as Path
    const { address } = fleet.instances[random.below(fleet.instances.length)] ?? { address: '' }
    const headers = path === Path.Stream ? promptHeaders(id, EVENTS) : {}
    const reply = await fleet.caller.send({ address, id, path: `${path}x`, key: 'key-acme', headers, body: 'a body', patienceMs: PATIENCE_MS })
    this.sent.push({ id, path, reply })
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

  private check ({ id, path, reply: { status, isWhole, body, isStamped } }: Sent): string[] {
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
      ['was denied though it is allowed', ![400, 401, 403, 404].includes(status)]
    ]
    return claims.filter(([, holds]) => !holds).map(([claim]) => `${id} (${path}) ${claim}: status ${status}, ${runs} runs`)
  }
}
