/** Keeps the relay core's directory up to date with the configuration and with which servers are leaving. */
import { emptyConfiguration, type Configuration } from 'foxtaillever-core'
import type { ServerDirectory } from 'foxtaillever-relay/servers/serverDirectory'
import { listServers, routingOf } from './plainRoutes.js'

export class PlainServers {
  private configuration: Configuration = emptyConfiguration
  private readonly leaving = new Set<string>()
  /** Increases with each change, as the directory requires. */
  private version = 0

  private constructor (private readonly directory: ServerDirectory) {}

  static create (directory: ServerDirectory): PlainServers {
    return new PlainServers(directory)
  }

  configure (configuration: Configuration): void {
    this.configuration = configuration
    this.directory.configure(routingOf(configuration))
    this.update()
  }

  /** Records whether the server is leaving, as the instance list or the server itself reports. */
  setLeaving (server: string, isLeaving: boolean): void {
    if (this.leaving.has(server) === isLeaving) {
      return
    }
    if (isLeaving) {
      this.leaving.add(server)
    } else {
      this.leaving.delete(server)
    }
    this.update()
  }

  private update (): void {
    const listed = listServers(this.configuration, this.leaving)
    this.version += 1
    listed.forEach(server => this.directory.applyEntry(server, this.version))
    this.directory.retain(new Set(listed.map(({ id }) => id)), this.version + 1)
  }
}
