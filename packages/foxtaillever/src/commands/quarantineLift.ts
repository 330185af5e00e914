import { Command, Option } from 'clipanion'
import { callInstance } from '../connection/callInstance.js'
import { ExitCode } from '../exitCode.js'

export class QuarantineLiftCommand extends Command {
  static override paths = [['quarantine', 'lift']]
  static override usage = Command.Usage({
    category: 'State',
    description: 'Let requests with a prompt level, or a request, reach the backend servers again.',
    details: 'Tells one instance on the platform, which tells the others and the store. What still crashes servers is refused again after some crashes.',
    examples: [['Lift a level', 'foxtaillever quarantine lift 10.1.0.3:7351 91bd3f06']]
  })

  address = Option.String({ name: 'metrics-address' })
  id = Option.String({ name: 'id' })

  async execute (): Promise<ExitCode> {
    const answer = await callInstance(this.address, 'DELETE', `/quarantines/${encodeURIComponent(this.id)}`)
    return answer.caseOf({
      Left: reason => {
        this.context.stderr.write(`${reason}\n`)
        return ExitCode.Unreachable
      },
      Right: result => {
        const { isLifted } = result as { readonly isLifted: boolean }
        this.context.stdout.write(isLifted ? `${this.id} is lifted.\n` : `${this.id} is not quarantined.\n`)
        return isLifted ? ExitCode.Done : ExitCode.Different
      }
    })
  }
}
