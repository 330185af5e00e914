/**
 * Clients of the engines, one per address. Clients of backend servers that were
 * removed from the configuration are closed once their streams have ended.
 */
import type { BackendServer, Clock, Configuration } from 'foxtaillever-core'
import { EngineClient } from '../adapters/engineClient.js'

export class Engines {
  private readonly clients = new Map<string, EngineClient>()

  private constructor (private readonly clock: Clock) {}

  static create (clock: Clock): Engines {
    return new Engines(clock)
  }

  of (server: BackendServer): EngineClient {
    const known = this.clients.get(server.address)
    if (known) {
      return known
    }
    const client = EngineClient.create(server.address, this.clock)
    this.clients.set(server.address, client)
    return client
  }

  configure (configuration: Configuration): void {
    const addresses = new Set(Object.values(configuration.servers).map(server => server.address))
    for (const [address, client] of this.clients) {
      if (!addresses.has(address)) {
        this.clients.delete(address)
        client.closeGracefully()
      }
    }
  }

  close (): void {
    this.clients.forEach(client => client.closeGracefully())
  }
}
