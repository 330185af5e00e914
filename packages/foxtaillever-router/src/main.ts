#!/usr/bin/env node
/** The entry process. */
import { Builtins, Cli } from 'clipanion'
import { ServeCommand } from './commands/serve.js'

const cli = new Cli({ binaryLabel: 'foxtaillever-router', binaryName: 'foxtaillever-router', binaryVersion: '0.1.0' })
cli.register(Builtins.HelpCommand)
cli.register(Builtins.VersionCommand)
cli.register(ServeCommand)
await cli.runExit(process.argv.slice(2))
