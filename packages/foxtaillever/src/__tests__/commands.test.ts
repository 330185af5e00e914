import { writeFile, mkdtemp, readFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { AdministrativeState, PresetName, Verdict } from 'foxtaillever-core'
import { createFigures, DecisionKind, type Figures } from 'foxtaillever-control'
import { FakeControl, serveControl } from 'foxtaillever-control/fixtures'
import { parseConfigurationFile, createConfiguration } from 'foxtaillever-settings'
import { describe, it } from 'foxtaillever-testing'
import { ExitCode } from '../index.js'
import { runCommand, type CommandRun } from '../__fixtures__/runCommand.js'

const example = new URL('../../../foxtaillever-settings/examples/sertaneja.configuration.jsonc', import.meta.url).pathname
const token = 'token-of-marilia'

interface InstanceContext {
  readonly control: FakeControl
  readonly run: (...words: readonly string[]) => Promise<CommandRun>
}

/** Runs `test` against one instance that has the example configuration in force. */
async function withInstance (test: (context: InstanceContext) => Promise<void>): Promise<void> {
  const control = FakeControl.create('entry-1')
  control.currentConfiguration = { ...createConfiguration(parseConfigurationFile('', await readFile(example, 'utf8')).unsafeCoerce()), revision: 1 }
  const served = await serveControl(control, { marilia: token })
  const env = { FOXTAILLEVER_ADDRESS: served.address, FOXTAILLEVER_TOKEN: token }
  try {
    await test({ control, run: async (...words) => await runCommand(words, env) })
  } finally {
    served.close()
  }
}

describe('command line', () => {
  describe('configuration', () => {
    it('is validated without an instance, and each error is listed', async t => {
      const file = join(await mkdtemp(join(tmpdir(), 'foxtaillever-')), 'bad.jsonc')
      await writeFile(file, '{ "acounts": {} }')
      const { code, out } = await runCommand(['config', 'validate', file])
      t.is(code, ExitCode.InvalidFile)
      t.true(out.includes(`${file}:1:3: acounts is not a setting. Write "accounts".`))
      t.is((await runCommand(['config', 'validate', example])).out, `${example}: valid\n`)
    })

    it('is compared with what is in force', async t => {
      await withInstance(async ({ control, run }) => {
        t.deepEqual(await run('config', 'diff', example), { code: ExitCode.Done, out: 'No difference from revision 1.\n', err: '' })
        const { [Object.keys(control.currentConfiguration.accounts)[0] ?? '']: _, ...accounts } = control.currentConfiguration.accounts
        control.currentConfiguration = { ...control.currentConfiguration, accounts }
        t.deepEqual(await run('config', 'diff', example), { code: ExitCode.Different, out: '+ account cooperativa-sao-francisco\n', err: '' })
      })
    })

    it('is published, and instances that do not have it in force in time are named', async t => {
      await withInstance(async ({ control, run }) => {
        control.currentConfiguration = { ...control.currentConfiguration, accounts: {} }
        control.laggingInstances = ['entry-7']
        const { code, out } = await run('config', 'publish', example, '--wait')
        t.is(code, ExitCode.NotEverywhere)
        t.true(out.includes('Accepted as revision 2.'))
        t.true(out.includes('Missing: entry-7.'))
        t.is(Object.keys(control.currentConfiguration.accounts).length, 8)
      })
    })

    it('that is shown as a file can be published again without a change', async t => {
      await withInstance(async ({ run }) => {
        const { out } = await run('config', 'show', '--file')
        const file = join(await mkdtemp(join(tmpdir(), 'foxtaillever-')), 'now.jsonc')
        await writeFile(file, out)
        t.is((await run('config', 'publish', file)).out, 'Nothing to change: this is in force already.\n')
      })
    })
  })

  describe('presets', () => {
    // A script that switches a preset has no terminal for a confirmation. Without
    // this check, a typing error would move the traffic of every client account.
    it('are not switched without a confirmation', async t => {
      await withInstance(async ({ control, run }) => {
        const { code, err } = await run('preset', 'switch', 'peaks')
        t.is(code, ExitCode.NotConfirmed)
        t.is(err, 'This may move traffic of revision 1. Nobody can be asked here: give --yes.\n')
        t.is(control.currentConfiguration.presetInForce, PresetName.OrdinaryDays)
      })
    })

    it('are switched with --yes, and listed', async t => {
      await withInstance(async ({ run }) => {
        t.deepEqual(await run('preset', 'switch', 'peaks', '--yes'), { code: ExitCode.Done, out: '! preset in force ordinary-days -> peaks\nAccepted as revision 2.\n', err: '' })
        t.regex((await run('preset', 'list')).out, /^peaks {10}yes/m)
      })
    })

    it('that do not exist are refused with a list of those that do', async t => {
      await withInstance(async ({ run }) => {
        const { code, err } = await run('preset', 'switch', 'holidays', '--yes')
        t.is(code, ExitCode.Refused)
        t.is(err, 'There is no preset "holidays": name one of ordinary-days, peaks, maintenance. (not_run)\n')
      })
    })
  })

  describe('backend servers', () => {
    it('are drained and returned', async t => {
      await withInstance(async ({ control, run }) => {
        t.is((await run('drain', 'order-language-3', '--yes')).out, '~ server order-language-3: state "in-service" -> "draining"\nAccepted as revision 2.\n')
        t.is(control.currentConfiguration.servers['order-language-3']?.state, AdministrativeState.Draining)
        await run('return', 'order-language-3', '--yes')
        t.is(control.currentConfiguration.servers['order-language-3']?.state, AdministrativeState.InService)
      })
    })

    it('are sent orders', async t => {
      await withInstance(async ({ run }) => {
        const { code, out } = await run('order', 'load-weights', 'order-language-3', '2026-12', '--yes')
        t.deepEqual([code, out], [ExitCode.Done, 'order 1: load-weights 2026-12 at order-language-3: waiting. Waits for the lease.\n'])
        t.is((await run('order', 'dance', 'order-language-3', 'now', '--yes')).code, ExitCode.Refused)
      })
    })
  })

  describe('state', () => {
    it('is dumped with sorted keys', async t => {
      await withInstance(async ({ run }) => {
        const { out } = await run('dump', '--all')
        const keys = Object.keys((JSON.parse(out) as Record<string, object>)['entry-1'] ?? {})
        t.deepEqual(keys, [...keys].sort())
        t.is((await run('dump', 'entry-9')).code, ExitCode.Different)
      })
    })

    it('of a request is explained by the instance that served it', async t => {
      await withInstance(async ({ control, run }) => {
        control.explanations.set('r1', {
          requestId: 'r1',
          instance: 'entry-1',
          account: 'vale',
          model: 'feed',
          arrivedAt: 0,
          deadline: 5000,
          leftOut: 0,
          decisions: [{ kind: DecisionKind.Placed, at: 3, rule: 'expected-first-token', server: 'w1', candidates: [{ server: 'w1', cost: 120 }, { server: 'w2', cost: 250.5 }], message: '' }, { kind: DecisionKind.Failed, at: 40, rule: '', server: 'w1', candidates: [], verdict: Verdict.MayHaveRun, message: 'The connection was lost.' }]
        })
        t.is((await run('explain', 'r1')).out, [
          'request r1 of vale, model feed, served by entry-1',
          'arrived 1970-01-01T00:00:00.000Z, deadline 5000 ms later',
          '     +3 ms  placed at w1 by rule expected-first-token Costs: w1 120, w2 250.5.',
          '    +40 ms  failed at w1 (may_have_run): The connection was lost.',
          ''
        ].join('\n'))
        t.is((await run('explain', 'r2')).code, ExitCode.Different)
      })
    })

    it('of one client account is reported', async t => {
      await withInstance(async ({ control, run }) => {
        const figures: Figures = { ...createFigures(0, 1000), served: 9, refused: { overload: 2 }, promptTokens: 100, cachedTokens: 75, firstToken: [0, 9, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0] }
        control.accountFigures.set('vale', figures)
        const { out } = await run('report', '--account', 'vale')
        t.regex(out, /refused, not run +2 \(overload 2\)/)
        t.regex(out, /prefix hit rate +75\.0 %/)
        t.regex(out, /p99 <= 0\.1 s/)
      })
    })

    for (const words of [['members'], ['servers'], ['accounts'], ['orders'], ['top', '--once'], ['config', 'show']]) {
      it(`${words.join(' ')} answers as a table and as JSON`, async t => {
        await withInstance(async ({ run }) => {
          const table = await run(...words)
          t.deepEqual([table.code, table.err], [ExitCode.Done, ''])
          t.not(table.out, '')
          const json = await run(...words, '--json')
          t.notThrows(() => { JSON.parse(json.out) })
        })
      })
    }
  })

  describe('failures', () => {
    it('a wrong token', async t => {
      await withInstance(async ({ control, run }) => {
        const address = control.memberViews[0]?.controlAddress ?? ''
        const { code, err } = await runCommand(['members'], { FOXTAILLEVER_ADDRESS: address, FOXTAILLEVER_TOKEN: 'wrong' })
        t.is(code, ExitCode.Unauthenticated)
        t.true(err.startsWith('This instance does not know the token. (not_run) Set FOXTAILLEVER_TOKEN'))
        t.is((await run('members')).code, ExitCode.Done)
      })
    })

    it('no address', async t => {
      const { code, err } = await runCommand(['members'], { FOXTAILLEVER_TOKEN: 'x' })
      t.is(code, ExitCode.Unreachable)
      t.true(err.includes('FOXTAILLEVER_ADDRESS'))
    })

    // An instance was replaced, and the operator's list of addresses still begins
    // with its address. The command must call the next address.
    it('the first listed instance is unreachable', async t => {
      await withInstance(async ({ control }) => {
        const gone = await serveControl(FakeControl.create('gone'), {})
        gone.close()
        const address = `${gone.address},${control.memberViews[0]?.controlAddress ?? ''}`
        t.is((await runCommand(['members'], { FOXTAILLEVER_ADDRESS: address, FOXTAILLEVER_TOKEN: token })).code, ExitCode.Done)
      })
    })

    it('an unknown option or command', async t => {
      t.is((await runCommand(['members', '--colour'])).code, ExitCode.Usage)
      t.is((await runCommand(['preset', 'swich', 'peaks'])).code, ExitCode.Usage)
    })
  })

  describe('help', () => {
    it('completes commands and options', async t => {
      t.is((await runCommand(['completion', 'words', '--', 'preset', 's'])).out, 'show\nswitch\n')
      t.is((await runCommand(['completion', 'words', '--', 'drain', '--y'])).out, '--yes\n')
      t.true((await runCommand(['completion', 'bash'])).out.includes('complete -o default'))
    })

    it('has --help and --version', async t => {
      t.is((await runCommand(['--version'])).out, '0.1.0\n')
      t.true((await runCommand(['--help'])).out.includes('preset switch'))
    })
  })
})
