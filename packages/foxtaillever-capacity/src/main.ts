/** Entry of the capacity measurements. */
import { Cli } from 'clipanion'
import { CostsCommand } from './commands/costs.js'
import { EventsCommand } from './commands/events.js'
import { MembersCommand } from './commands/members.js'

const cli = new Cli({ binaryLabel: 'foxtaillever-capacity', binaryName: 'capacity' })
cli.register(CostsCommand)
cli.register(EventsCommand)
cli.register(MembersCommand)
await cli.runExit(process.argv.slice(2))
