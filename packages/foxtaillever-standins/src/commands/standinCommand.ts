/** What the subcommands share: where to listen. */
import { Command, Option } from 'clipanion'

export abstract class StandinCommand extends Command {
  host = Option.String('--host', '127.0.0.1', { description: 'IP number to listen on.' })
  portOption = Option.String('--port', '0', { description: 'Port to listen on; 0 lets the system choose.' })

  listenPort (): number {
    return Number(this.portOption)
  }
}
