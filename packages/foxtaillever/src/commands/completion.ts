import { Command, Option } from 'clipanion'
import { completeWords } from '../completion/completeWords.js'
import { ExitCode } from '../exitCode.js'

enum Shell {
  Bash = 'bash',
  Zsh = 'zsh',
  Fish = 'fish'
}

const scripts: Record<Shell, string> = {
  [Shell.Bash]: `_foxtaillever () { mapfile -t COMPREPLY < <(foxtaillever completion words -- "\${COMP_WORDS[@]:1:COMP_CWORD}"); }
complete -o default -F _foxtaillever foxtaillever
`,
  [Shell.Zsh]: `#compdef foxtaillever
_foxtaillever () { compadd -- \${(f)"$(foxtaillever completion words -- "\${(@)words[2,CURRENT]}")"}; _files; }
compdef _foxtaillever foxtaillever
`,
  [Shell.Fish]: 'complete -c foxtaillever -a "(foxtaillever completion words -- (commandline -opc)[2..] (commandline -ct))"\n'
}

export class CompletionCommand extends Command {
  static override paths = [['completion']]
  static override usage = Command.Usage({
    category: 'Help',
    description: 'Print the completion script of a shell.',
    details: `The shell is one of ${Object.values(Shell).join(', ')}.`,
    examples: [['In ~/.bashrc', 'source <(foxtaillever completion bash)']]
  })

  shell = Option.String({ name: 'shell' })

  async execute (): Promise<ExitCode> {
    const script = scripts[this.shell as Shell] as string | undefined
    if (script === undefined) {
      this.context.stderr.write(`No completion for "${this.shell}": name one of ${Object.values(Shell).join(', ')}.\n`)
      return ExitCode.Usage
    }
    this.context.stdout.write(script)
    return ExitCode.Done
  }
}

/** Called by the completion scripts; left out of the help. */
export class CompletionWordsCommand extends Command {
  static override paths = [['completion', 'words']]

  words = Option.Proxy()

  async execute (): Promise<ExitCode> {
    const words = this.words[0] === '--' ? this.words.slice(1) : this.words
    const candidates = completeWords(this.cli.definitions(), words)
    this.context.stdout.write(candidates.map(candidate => `${candidate}\n`).join(''))
    return ExitCode.Done
  }
}
