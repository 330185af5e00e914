/**
 * What the subcommands share: where to listen, checked numbers, serving until
 * told to stop. Exit codes: 0 stopped by a signal, 1 settings refused or the
 * port could not be had.
 */
import { Command, Option, UsageError } from 'clipanion'
import type { FastifyInstance } from 'fastify'

const LARGEST_PORT = 65_535

export abstract class StandinCommand extends Command {
  host = Option.String('--host', '127.0.0.1', { description: 'IP number to listen on.' })
  portOption = Option.String('--port', '0', { description: 'Port to listen on; 0 lets the system choose.' })

  /** Reads a number from a setting, or refuses it with a message that names the setting. */
  protected number (setting: string, text: string, smallest = 0, largest = Number.MAX_SAFE_INTEGER): number {
    const value = Number(text)
    if (text.trim() === '' || !Number.isFinite(value) || value < smallest || value > largest) {
      throw new UsageError(`${setting} must be a number from ${smallest} to ${largest}, not "${text}".`)
    }
    return value
  }

  /** Listens, prints the address and serves until told to stop. */
  protected async serve (name: string, server: FastifyInstance): Promise<void> {
    const port = this.number('--port', this.portOption, 0, LARGEST_PORT)
    const address = await server.listen({ host: this.host, port })
    this.context.stdout.write(`${name} listens on ${address}\n`)
    await new Promise<void>(resolve => {
      process.once('SIGTERM', resolve)
      process.once('SIGINT', resolve)
    })
    await server.close()
  }
}
