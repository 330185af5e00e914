/**
 * Reads the transcripts of a page: code blocks marked `console`, in which a line
 * that begins with `$` is a command and the lines below it are its output.
 */
export interface Step {
  readonly command: string
  readonly output: string
}

const BLOCK = /```console\n([\s\S]*?)```/g

export function readTranscript (page: string): readonly Step[] {
  const blocks = [...page.matchAll(BLOCK)].map(match => match[1] ?? '')
  return blocks.flatMap(block => block.split(/^\$ /m).slice(1)).map(step => {
    const [command = '', ...lines] = step.split('\n')
    return { command, output: lines.join('\n') }
  })
}

/** Splits a command line into arguments; quotes work as in a shell. */
export function splitArguments (command: string): readonly string[] {
  const words = command.match(/(?:'[^']*'|"[^"]*"|[^\s'"])+/g) ?? []
  return words.map(word => word.replace(/'([^']*)'|"([^"]*)"/g, (_, single?: string, double?: string) => single ?? double ?? ''))
}

/** Replaces what differs from run to run: ports, times, digests, other numbers and column widths. */
export function withoutNumbers (text: string): string {
  return text
    .replace(/\.[0-9a-f]{8}\b/g, '.ID')
    .replace(/\d+/g, 'N')
    .replace(/N\.N/g, 'N')
    .replace(/[ \t]+/g, ' ')
    .trim()
}
