#!/usr/bin/env node
/** The entry process. */
import { Builtins, Cli } from 'clipanion'
import { ExitCode, ServeCommand } from './commands/serve.js'

const cli = new Cli({ binaryLabel: 'foxtaillever-router', binaryName: 'foxtaillever-router', binaryVersion: '0.1.0' })
cli.register(Builtins.HelpCommand)
cli.register(Builtins.VersionCommand)
cli.register(ServeCommand)

async function run (): Promise<number> {
  try {
    return await cli.run(cli.process(process.argv.slice(2), Cli.defaultContext), Cli.defaultContext)
  } catch (error) {
    process.stderr.write(cli.error(error, { colored: false }))
    return ExitCode.Usage
  }
}

process.exitCode = await run()
