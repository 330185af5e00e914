/**
 * The answer of a stand-in engine depends on the prompt alone, so that a caller
 * can check that an answer is complete, in order and belongs to its prompt.
 */
import { hashNumber } from 'foxtaillever-core'
import { hashText } from 'foxtaillever-core/hashPrompt'

/** Key from which every token of the answer to a prompt is derived. */
export function answerKey (prompt: string): string {
  return hashText(prompt)
}

/** The token at `index`, counted from 1. */
export function answerToken (key: string, index: number): string {
  return ` ${hashNumber(`${key}/${index}`).toString(36)}`
}

export function wholeAnswer (prompt: string, tokens: number): string {
  const key = answerKey(prompt)
  return Array.from({ length: tokens }, (_, index) => answerToken(key, index + 1)).join('')
}
