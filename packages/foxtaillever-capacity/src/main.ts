/** Entry of the capacity measurements. */
import { Cli } from 'clipanion'
import { AllCommand } from './commands/all.js'
import { CostsCommand } from './commands/costs.js'
import { EventsCommand } from './commands/events.js'
import { LoadsCommand } from './commands/loads.js'
import { MembersCommand } from './commands/members.js'

const cli = new Cli({ binaryLabel: 'foxtaillever-capacity', binaryName: 'capacity' })
cli.register(AllCommand)
cli.register(CostsCommand)
cli.register(EventsCommand)
cli.register(LoadsCommand)
cli.register(MembersCommand)
await cli.runExit(process.argv.slice(2))
