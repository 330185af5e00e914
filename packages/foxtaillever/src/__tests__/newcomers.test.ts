import { mkdtemp, readFile, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { PlacementPolicy } from 'foxtaillever-core'
import { EmbeddedDeployment, OPERATOR_TOKEN, shapes, type Shape } from 'foxtaillever-load'
import { describe, it } from 'foxtaillever-testing'
import { readTranscript, splitArguments, withoutNumbers } from '../__fixtures__/readTranscript.js'
import { runCommand } from '../__fixtures__/runCommand.js'

const page = new URL('../../../../docs/newcomers.md', import.meta.url)

/** Runs the programs that the page uses: the command line, `curl` for a request, and `sed` for an edit of a file. */
class Shell {
  private constructor (private readonly deployment: EmbeddedDeployment, private readonly directory: string) {}

  static async create (deployment: EmbeddedDeployment): Promise<Shell> {
    return new Shell(deployment, await mkdtemp(join(tmpdir(), 'foxtaillever-')))
  }

  private readonly programs: Readonly<Record<string, (words: readonly string[]) => Promise<string>>> = {
    foxtaillever: async words => await this.runCommandLine(words),
    curl: async words => await this.send(words),
    sed: async words => await this.substitute(words)
  }

  async run (command: string): Promise<string> {
    const [program = '', ...words] = splitArguments(command)
    const runProgram = this.programs[program]
    return runProgram ? await runProgram(words) : `no program ${program}`
  }

  private async runCommandLine (words: readonly string[]): Promise<string> {
    const redirect = words.indexOf('>')
    const env = { FOXTAILLEVER_ADDRESS: this.deployment.entries.map(entry => entry.control).join(','), FOXTAILLEVER_TOKEN: OPERATOR_TOKEN }
    const inDirectory = (redirect < 0 ? words : words.slice(0, redirect)).map(word => word.endsWith('.jsonc') ? join(this.directory, word) : word)
    const { out, err } = await runCommand(inDirectory, env)
    if (redirect < 0) {
      return (out + err).replaceAll(`${this.directory}/`, '')
    }
    await writeFile(join(this.directory, words[redirect + 1] ?? ''), out)
    return err
  }

  private async send (words: readonly string[]): Promise<string> {
    const url = (words.find(word => word.startsWith('$CALLERS')) ?? '').replace('$CALLERS', this.deployment.addresses[0] ?? '')
    const headers = words.flatMap((word, index) => words[index - 1] === '-H' ? [word.split(': ') as [string, string]] : [])
    const answer = await fetch(url, { method: 'POST', headers, body: words[words.indexOf('-d') + 1] })
    const text = await answer.text()
    return answer.status === 200 ? '' : text
  }

  /** Runs `sed -i '0,/A/s//B/' FILE`, which replaces the first A by B. */
  private async substitute (words: readonly string[]): Promise<string> {
    const [, from = '', to = ''] = /^0,\/(.*)\/s\/\/(.*)\/$/.exec(words[1] ?? '') ?? []
    const file = join(this.directory, words[2] ?? '')
    const text = await readFile(file, 'utf8')
    await writeFile(file, text.replace(from, to))
    return ''
  }
}

describe('the newcomers page', () => {
  it('shows what its commands print', async t => {
    const steps = readTranscript(await readFile(page, 'utf8'))
    t.true(steps.length > 10)
    const deployment = await EmbeddedDeployment.start({ shape: shapes['sertaneja'] as Shape, placement: PlacementPolicy.ExpectedFirstToken, seed: 1 })
    try {
      const shell = await Shell.create(deployment)
      for (const { command, output } of steps) {
        t.is(withoutNumbers(await shell.run(command)), withoutNumbers(output), command)
      }
    } finally {
      await deployment.stop()
    }
  })
})
