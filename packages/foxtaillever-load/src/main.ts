#!/usr/bin/env node
/** The load and experiment tool. */
import { Builtins, Cli } from 'clipanion'
import { CompareCommand } from './commands/compare.js'
import { DemoCommand } from './commands/demo.js'
import { LookCommand } from './commands/look.js'
import { RunCommand } from './commands/run.js'
import { SpeedCommand } from './commands/speed.js'

const cli = new Cli({ binaryLabel: 'foxtaillever-load', binaryName: 'foxtaillever-load', binaryVersion: '0.1.0' })
cli.register(Builtins.HelpCommand)
cli.register(Builtins.VersionCommand)
for (const command of [CompareCommand, DemoCommand, LookCommand, RunCommand, SpeedCommand]) {
  cli.register(command)
}
await cli.runExit(process.argv.slice(2))
