/** Entry of the capacity measurements. */
import { Cli } from 'clipanion'
import { MembersCommand } from './commands/members.js'

const cli = new Cli({ binaryLabel: 'foxtaillever-capacity', binaryName: 'capacity' })
cli.register(MembersCommand)
await cli.runExit(process.argv.slice(2))
