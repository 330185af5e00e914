#!/usr/bin/env node
/** The operators' command line. */
import { Cli } from 'clipanion'
import { runCli } from './createCli.js'

process.exitCode = await runCli(process.argv.slice(2), Cli.defaultContext)
