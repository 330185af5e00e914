/**
 * Servers that leave in turn, as their entries say, and go on serving for some seconds: an instance that does not learn
 * of it, or forgets it, still sends them requests.
 */
import { waitUntil } from 'foxtaillever-core'
import { ZONES } from 'foxtaillever-platform/__fixtures__/relayFleet'
import { waitFor } from 'foxtaillever-platform/__fixtures__/waitFor'
import type { BackendServer } from 'foxtaillever-standins'
import type { Drain } from './soakOperator.js'
import { addSilentServer } from './silentServers.js'
import type { SoakFleet } from './soakFleet.js'

const SERVERS = 5
const LEAVE_INTERVAL_MS = 2600

/** How long a server goes on serving, milliseconds. */
const SERVED_MS = 7000

/** How long new work may still reach a server after it announced that it leaves, milliseconds. */
const MAX_DRAIN_DELAY_MS = 2000

/** Deeper than the stack of a process bears. */
const NESTED_LISTS = 100_000

/** How a server announces that it leaves. */
export enum Departure {
  Draining = 'draining',
  Removed = 'removed'
}

const departures: Readonly<Record<Departure, (fleet: SoakFleet, server: BackendServer) => void>> = {
  [Departure.Draining]: ({ platform }, server) => platform.drain(server),
  [Departure.Removed]: ({ platform }, server) => platform.remove(server)
}

export class LeavingServers {
  readonly drains: Drain[] = []
  private readonly staying: BackendServer[] = []
  private added = 0

  private constructor (private readonly fleet: SoakFleet) {}

  static async create (fleet: SoakFleet): Promise<LeavingServers> {
    const servers = new LeavingServers(fleet)
    while (servers.added < SERVERS) {
      await servers.add()
    }
    return servers
  }

  /** Servers that have not left. */
  get present (): readonly BackendServer[] {
    return this.staying
  }

  /**
   * Makes servers leave in turn until the time; another one takes the place of each.
   * @param prepare called some time before a server leaves.
   */
  async leaveUntil (until: number, prepare: (server: BackendServer) => void = () => {}): Promise<void> {
    const { clock, platform } = this.fleet
    for (let count = 0; clock.now() < until; count += 1) {
      const [leaving] = this.staying
      if (leaving) {
        prepare(leaving)
        await waitUntil(clock, clock.now() + LEAVE_INTERVAL_MS)
        this.staying.shift()
        await this.add()
        const kind = count % 2 === 0 ? Departure.Draining : Departure.Removed
        departures[kind](this.fleet, leaving)
        this.drains.push({ server: leaving, id: leaving.id, at: clock.now() })
        clock.at(clock.now() + SERVED_MS, () => {
          platform.remove(leaving)
          leaving.close()
        })
      }
    }
  }

  /** Work that reached a server later than allowed after it announced that it leaves. */
  lateArrivals (): string[] {
    return this.drains.flatMap(({ server, id, at }) => server.arrivals
      .filter(({ hasRun, at: arrivedAt }) => hasRun && arrivedAt > at + MAX_DRAIN_DELAY_MS)
      .map(({ requestId, at: arrivedAt }) => `${requestId} ran at ${id} ${Math.round(arrivedAt - at)} ms after it announced that it leaves`))
  }

  private async add (): Promise<void> {
    const server = await addSilentServer(this.fleet.platform, this.added)
    server.statesLeaving = false
    this.added += 1
    this.staying.push(server)
  }
}

/** Waits until every instance sends requests to the servers. */
export async function waitUntilServed ({ instances, caller }: SoakFleet, path: string): Promise<void> {
  for (const { address } of instances) {
    await waitFor(`${address} serves ${path}`, async () => (await caller.send({ address, id: 'first', path, key: 'key-acme', method: 'GET' })).status === 200)
  }
}

/** Entries that another writer than a server may leave, each sound but for one field. */
export function oddEntries (service: string, address: string): Readonly<Record<string, Buffer>> {
  const sound = { service, address, zone: ZONES[0], version: 'v1', slots: 8, state: 'ready', seq: 1, cold_left_ms: 0 }
  const nested = `${'['.repeat(NESTED_LISTS)}${']'.repeat(NESTED_LISTS)}`
  const withText = (field: string, text: string): Buffer => Buffer.from(JSON.stringify({ ...sound, [field]: '?' }).replace('"?"', text))
  const [host = ''] = address.split(':')
  return {
    'nested lists': withText('zone', nested),
    'nested lists of models': withText('models', nested),
    'an endless number': withText('slots', '1e999'),
    'a number that is no count': withText('slots', '1e300'),
    'a port out of range': withText('address', `"${host}:99999"`),
    'no port': withText('address', `"${host}:0"`),
    'no IP address': withText('address', '"999.1.1.1:80"')
  }
}
