import { Command, Option } from 'clipanion'
import { callInstance } from '../connection/callInstance.js'
import { ExitCode } from '../exitCode.js'
import { formatJson } from '../format/formatJson.js'

interface ListedQuarantine {
  readonly kind: string
  readonly id: string
  readonly account?: string
  readonly servers: readonly number[]
}

export class QuarantineListCommand extends Command {
  static override paths = [['quarantine', 'list']]
  static override usage = Command.Usage({
    category: 'State',
    description: 'List the prompt levels and requests that are refused because they crashed backend servers.',
    details: 'Asks one instance on the platform; all of them refuse the same.',
    examples: [['Ask an instance', 'foxtaillever quarantine list 10.1.0.3:7351']]
  })

  address = Option.String({ name: 'metrics-address' })
  json = Option.Boolean('--json', false, { description: 'Answer with JSON, keys sorted.' })

  async execute (): Promise<ExitCode> {
    const answer = await callInstance(this.address, 'GET', '/quarantines')
    return answer.caseOf({
      Left: reason => {
        this.context.stderr.write(`${reason}\n`)
        return ExitCode.Unreachable
      },
      Right: list => {
        const quarantines = list as readonly ListedQuarantine[]
        this.context.stdout.write(this.json ? formatJson(quarantines) : quarantines.map(format).join(''))
        return ExitCode.Done
      }
    })
  }
}

function format ({ kind, id, account, servers }: ListedQuarantine): string {
  return `${kind} ${id}: crashed ${servers.length} servers, refused for ${account ?? 'all accounts'}\n`
}
