#!/usr/bin/env node
/** The load and experiment tool. */
import { Builtins, Cli } from 'clipanion'
import { DemoCommand } from './commands/demo.js'

const cli = new Cli({ binaryLabel: 'foxtaillever-load', binaryName: 'foxtaillever-load', binaryVersion: '0.1.0' })
cli.register(Builtins.HelpCommand)
cli.register(Builtins.VersionCommand)
cli.register(DemoCommand)
await cli.runExit(process.argv.slice(2))
