/**
 * Base of the subcommands: the address to listen on, validation of numeric
 * options, and serving until a signal arrives. Exit codes: 0 stopped by a signal,
 * 1 invalid options or the port could not be opened.
 */
import { Command, Option, UsageError } from 'clipanion'
import type { FastifyInstance } from 'fastify'

const MAX_PORT = 65_535

export abstract class StandinCommand extends Command {
  host = Option.String('--host', '127.0.0.1', { description: 'IP number to listen on.' })
  portOption = Option.String('--port', '0', { description: 'Port to listen on; 0 lets the system choose.' })

  /** Parses a numeric option; throws an error that names the option if it is not a number in range. */
  protected parseNumber (setting: string, text: string, smallest = 0, largest = Number.MAX_SAFE_INTEGER): number {
    const value = Number(text)
    if (text.trim() === '' || !Number.isFinite(value) || value < smallest || value > largest) {
      throw new UsageError(`${setting} must be a number from ${smallest} to ${largest}, not "${text}".`)
    }
    return value
  }

  /** Listens, prints the address and serves until SIGTERM or SIGINT. */
  protected async serve (name: string, server: FastifyInstance): Promise<void> {
    const port = this.parseNumber('--port', this.portOption, 0, MAX_PORT)
    const address = await server.listen({ host: this.host, port })
    this.context.stdout.write(`${name} listens on ${address}\n`)
    await new Promise<void>(resolve => {
      process.once('SIGTERM', resolve)
      process.once('SIGINT', resolve)
    })
    await server.close()
  }
}
