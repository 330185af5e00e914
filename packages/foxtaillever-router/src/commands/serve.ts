import { Command, Option } from 'clipanion'
import { SystemClock } from 'foxtaillever-core'
import { linesOf, loadRouterSettings, type RouterSettings } from 'foxtaillever-settings'
import { createEntryInstanceOptions } from '../instance/createEntryInstanceOptions.js'
import { EntryInstance } from '../instance/entryInstance.js'

/** Ends with this when the settings are wrong. */
const INVALID_SETTINGS = 3

export class ServeCommand extends Command {
  static override paths = [Command.Default, ['serve']]
  static override usage = Command.Usage({
    description: 'Run one entry instance.',
    details: 'Runs until SIGTERM or SIGINT, then takes nothing new and lets what is in flight go on. Ends with 3 when the settings are wrong.',
    examples: [['Run an instance', 'foxtaillever-router sertaneja.router.jsonc']]
  })

  settings = Option.String({ name: 'settings' })

  async execute (): Promise<number> {
    const loaded = await loadRouterSettings(this.settings, this.context.env)
    return await loaded.caseOf({
      Left: async () => {
        this.context.stderr.write(linesOf(loaded).map(line => `${line}\n`).join(''))
        return INVALID_SETTINGS
      },
      Right: async settings => await this.serve(settings)
    })
  }

  private async serve (settings: RouterSettings): Promise<number> {
    const instance = EntryInstance.create(createEntryInstanceOptions(settings, SystemClock.create()))
    await instance.start()
    await new Promise<void>(resolve => {
      process.once('SIGTERM', resolve)
      process.once('SIGINT', resolve)
    })
    await instance.stop()
    return 0
  }
}
