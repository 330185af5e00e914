import { Command, Option } from 'clipanion'
import { SystemClock } from 'foxtaillever-core'
import { formatDiagnostic, loadRouterSettings, type Diagnostic, type RouterSettings } from 'foxtaillever-settings'
import { createEntryInstanceOptions } from '../instance/createEntryInstanceOptions.js'
import { EntryInstance } from '../instance/entryInstance.js'

/** Exit codes of the process. */
export enum ExitCode {
  /** Stopped as requested; every request in flight got its outcome. */
  Done = 0,
  /** A port is in use or an address does not belong to this machine. */
  CannotListen = 1,
  /** The command line is wrong. */
  Usage = 2,
  /** The settings are refused; nothing was started. */
  InvalidSettings = 3
}

export class ServeCommand extends Command {
  static override paths = [Command.Default, ['serve']]
  static override usage = Command.Usage({
    description: 'Serve as one entry instance until told to stop.',
    details: `
      Reads its settings, joins the other instances and serves callers. SIGTERM or
      SIGINT begins a graceful stop: nothing new is taken, what is in flight is
      finished, at the latest at limits.drainTimeoutMs. SIGHUP reads the settings
      again and puts new member keys in force without a restart.

      Exit codes: 0 stopped as told, 1 cannot listen, 2 wrong command line,
      3 settings refused.
    `,
    examples: [
      ['Serve', '$0 router.jsonc'],
      ['Only check the settings', '$0 router.jsonc --check']
    ]
  })

  settings = Option.String({ name: 'settings' })
  check = Option.Boolean('--check', false, { description: 'Check the settings and end.' })

  async execute (): Promise<number> {
    const loaded = await loadRouterSettings(this.settings, this.context.env)
    return await loaded.caseOf({
      Left: async complaints => {
        this.printComplaints(complaints)
        return ExitCode.InvalidSettings
      },
      Right: async settings => this.check ? this.reportValid() : await this.serve(settings)
    })
  }

  private printComplaints (complaints: readonly Diagnostic[]): void {
    complaints.forEach(complaint => this.context.stderr.write(`${formatDiagnostic(complaint)}\n`))
  }

  private reportValid (): ExitCode {
    this.context.stdout.write(`${this.settings} is in order.\n`)
    return ExitCode.Done
  }

  private async serve (settings: RouterSettings): Promise<ExitCode> {
    const instance = EntryInstance.create(createEntryInstanceOptions(settings, SystemClock.create()))
    // Such an error concerns one request or task; ending the process would break all others.
    const recordError = (error: unknown): void => instance.recordUncaughtError(error)
    process.on('uncaughtException', recordError)
    process.on('unhandledRejection', recordError)
    // Registered before callers can connect, so that no signal ends the process with an answer in flight.
    const stopSignal = new Promise<void>(resolve => {
      process.once('SIGTERM', resolve)
      process.once('SIGINT', resolve)
    })
    try {
      await instance.start()
    } catch (error) {
      this.context.stderr.write(`Cannot listen: ${(error as Error).message}. Correct the addresses in ${this.settings} or free the port.\n`)
      // Parts that did start, such as the socket for other instances, would keep the process alive.
      process.exit(ExitCode.CannotListen)
    }
    process.on('SIGHUP', () => this.reload(instance))
    await stopSignal
    await instance.stop()
    return ExitCode.Done
  }

  /** Invalid settings change nothing; the instance keeps those that it has. */
  private async reload (instance: EntryInstance): Promise<void> {
    const loaded = await loadRouterSettings(this.settings, this.context.env)
    loaded
      .ifLeft(complaints => this.printComplaints(complaints))
      .ifRight(settings => instance.replaceKeys(settings.memberKeys.map(({ id, secret }) => ({ id, secret: secret.reveal() }))))
  }
}
