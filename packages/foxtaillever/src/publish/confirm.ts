/** Asks the operator for a confirmation. Without a terminal the answer is no. */
import { createInterface } from 'node:readline/promises'
import type { BaseContext } from 'clipanion'

function isTerminal (stream: unknown): boolean {
  return (stream as { readonly isTTY?: boolean }).isTTY === true
}

export async function confirm ({ stdin, stdout, stderr }: BaseContext, question: string): Promise<boolean> {
  if (!isTerminal(stdin)) {
    stderr.write(`${question} Nobody can be asked here: give --yes.\n`)
    return false
  }
  const reader = createInterface({ input: stdin, output: stdout })
  const answer = await reader.question(`${question} Type yes to go on: `)
  reader.close()
  return answer.trim() === 'yes'
}
