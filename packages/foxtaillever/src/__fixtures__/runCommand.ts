/** Runs one command line and collects its output. Its input is no terminal, so a confirmation is never given. */
import { PassThrough } from 'node:stream'
import { text } from 'node:stream/consumers'
import { runCli } from '../createCli.js'

export interface CommandRun {
  readonly code: number
  readonly out: string
  readonly err: string
}

export async function runCommand (args: readonly string[], env: Readonly<Record<string, string>> = {}): Promise<CommandRun> {
  const stdout = new PassThrough()
  const stderr = new PassThrough()
  const stdin = new PassThrough()
  const code = await runCli(args, { env, stdin, stdout, stderr, colorDepth: 1 })
  stdout.end()
  stderr.end()
  return { code, out: await text(stdout), err: await text(stderr) }
}
