/** Creates the command line with all its commands. */
import { Builtins, Cli, type BaseContext, type CommandClass } from 'clipanion'
import { AccountsCommand } from './commands/accounts.js'
import { CompletionCommand, CompletionWordsCommand } from './commands/completion.js'
import { ConfigDiffCommand } from './commands/configDiff.js'
import { ConfigPublishCommand } from './commands/configPublish.js'
import { ConfigShowCommand } from './commands/configShow.js'
import { ConfigValidateCommand } from './commands/configValidate.js'
import { DemoCommand } from './commands/demo.js'
import { DrainCommand } from './commands/drain.js'
import { DumpCommand } from './commands/dump.js'
import { ExplainCommand } from './commands/explain.js'
import { MembersCommand } from './commands/members.js'
import { OrderCommand } from './commands/order.js'
import { OrdersCommand } from './commands/orders.js'
import { PresetListCommand } from './commands/presetList.js'
import { PresetShowCommand } from './commands/presetShow.js'
import { PresetSwitchCommand } from './commands/presetSwitch.js'
import { QuarantineLiftCommand } from './commands/quarantineLift.js'
import { QuarantineListCommand } from './commands/quarantineList.js'
import { ReportCommand } from './commands/report.js'
import { ReportDayCommand } from './commands/reportDay.js'
import { ReturnCommand } from './commands/return.js'
import { ServersCommand } from './commands/servers.js'
import { SettingsCheckCommand } from './commands/settingsCheck.js'
import { TimelineCommand } from './commands/timeline.js'
import { TopCommand } from './commands/top.js'
import { ExitCode } from './exitCode.js'

const VERSION = '0.1.0'

const commands: ReadonlyArray<CommandClass<BaseContext>> = [
  Builtins.HelpCommand, Builtins.VersionCommand,
  ConfigValidateCommand, ConfigDiffCommand, ConfigPublishCommand, ConfigShowCommand,
  PresetListCommand, PresetShowCommand, PresetSwitchCommand,
  MembersCommand, ServersCommand, AccountsCommand,
  DrainCommand, ReturnCommand, OrderCommand, OrdersCommand,
  QuarantineListCommand, QuarantineLiftCommand,
  SettingsCheckCommand, DumpCommand, ExplainCommand, TimelineCommand, TopCommand, ReportCommand, ReportDayCommand,
  CompletionCommand, CompletionWordsCommand, DemoCommand
]

export function createCli (): Cli {
  const cli = new Cli({ binaryLabel: 'foxtaillever', binaryName: 'foxtaillever', binaryVersion: VERSION })
  commands.forEach(command => cli.register(command))
  return cli
}

/** Runs one command line. A command line that cannot be parsed ends with `ExitCode.Usage`. */
export async function runCli (args: readonly string[], context: BaseContext): Promise<number> {
  const cli = createCli()
  try {
    return await cli.run(cli.process([...args], context), context)
  } catch (error) {
    context.stderr.write(cli.error(error, { colored: false }))
    return ExitCode.Usage
  }
}
