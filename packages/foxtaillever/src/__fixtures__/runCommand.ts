/**
 * Runs one command line and gathers what it prints; nobody can be asked.
 */
import { PassThrough } from 'node:stream'
import { text } from 'node:stream/consumers'
import { runCli } from '../createCli.js'

export interface CommandRun {
  readonly code: number
  readonly out: string
  readonly err: string
}

export async function runCommand (words: readonly string[], env: Readonly<Record<string, string>> = {}): Promise<CommandRun> {
  const stdout = new PassThrough()
  const stderr = new PassThrough()
  const stdin = new PassThrough()
  const code = await runCli(words, { env, stdin, stdout, stderr, colorDepth: 1 })
  stdout.end()
  stderr.end()
  return { code, out: await text(stdout), err: await text(stderr) }
}
