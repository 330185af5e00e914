#!/usr/bin/env node
/** The stand-ins as one binary with a subcommand for each external system. */
import { Builtins, Cli } from 'clipanion'
import { EngineCommand } from './commands/engine.js'
import { InstanceListCommand } from './commands/instanceList.js'
import { KeptCacheStoreCommand } from './commands/keptCacheStore.js'
import { LogCommand } from './commands/log.js'
import { PlainCommand } from './commands/plain.js'
import { WeightStoreCommand } from './commands/weightStore.js'

const cli = new Cli({ binaryLabel: 'foxtaillever-standins', binaryName: 'foxtaillever-standins', binaryVersion: '0.1.0' })
cli.register(Builtins.HelpCommand)
cli.register(Builtins.VersionCommand)
for (const command of [EngineCommand, InstanceListCommand, KeptCacheStoreCommand, LogCommand, PlainCommand, WeightStoreCommand]) {
  cli.register(command)
}
await cli.runExit(process.argv.slice(2))
