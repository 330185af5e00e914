/**
 * The answer of a stand-in engine: a function of the prompt alone, so that a
 * caller can check that an answer is whole, in order and its own.
 */
import { hashNumber } from 'foxtaillever-core'
import { hashText } from 'foxtaillever-core/hashPrompt'

/** What every token of the answer to a prompt is derived from. */
export function answerKey (prompt: string): string {
  return hashText(prompt)
}

/** Token number `index`, counted from 1. */
export function answerToken (key: string, index: number): string {
  return ` ${hashNumber(`${key}/${index}`).toString(36)}`
}

export function wholeAnswer (prompt: string, tokens: number): string {
  const key = answerKey(prompt)
  return Array.from({ length: tokens }, (_, index) => answerToken(key, index + 1)).join('')
}
