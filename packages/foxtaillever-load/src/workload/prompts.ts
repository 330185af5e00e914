/** Generates long prompt texts that depend only on their name and length. */
import { CHARACTERS_PER_TOKEN } from 'foxtaillever-core'

const shared = new Map<string, string>()

/** Text of a given length that is the same for the same name. */
export function fillText (name: string, tokens: number): string {
  const characters = tokens * CHARACTERS_PER_TOKEN
  return `${name} `.repeat(Math.ceil(characters / (name.length + 1))).slice(0, characters)
}

/** Like fillText, but cached, for levels that many prompts share. */
export function sharedText (name: string, tokens: number): string {
  const key = `${name}/${tokens}`
  const text = shared.get(key) ?? fillText(name, tokens)
  shared.set(key, text)
  return text
}
