/**
 * Creates prompts from text. A prefix is hashed only where a level ends, because
 * placement never uses single blocks. The package's index does not export this
 * module: its hash is WebAssembly, which must be instantiated before any module
 * that uses it.
 */
import createHasher from 'xxhash-wasm'
import { CHARACTERS_PER_TOKEN, estimateTokens, renderMessage, renderMessages, MIN_LEVEL_TOKENS, type ChatMessage, type PrefixLevel, type Prompt } from './prompt.js'

const hasher = await createHasher()

/** Ends of levels for a prompt whose caller gives none, in tokens. */
const DEFAULT_LEVEL_ENDS_TOKENS = [256, 1024, 4096, 16_384, 65_536]

/** 64-bit hash of a short text, 16 hexadecimal digits. */
export function hashText (text: string): string {
  return hasher.h64ToString(text)
}

/**
 * Hashes a prompt once, level by level.
 * @param ends character offsets at which levels end, ascending.
 */
export function createPrompt (text: string, ends: readonly number[]): Prompt {
  const state = hasher.create64()
  const levels: PrefixLevel[] = []
  let start = 0
  for (const end of [...ends, text.length]) {
    if (end <= start || end > text.length) {
      continue
    }
    state.update(text.slice(start, end))
    start = end
    const tokens = estimateTokens(end)
    if (tokens >= MIN_LEVEL_TOKENS || end === text.length) {
      levels.push({ hash: state.digest().toString(16).padStart(16, '0'), tokens })
    }
  }
  return { text, tokens: estimateTokens(text.length), levels }
}

export function createChatPrompt (messages: readonly ChatMessage[]): Prompt {
  const ends: number[] = []
  let end = 0
  for (const message of messages) {
    end += renderMessage(message).length
    ends.push(end)
  }
  return createPrompt(renderMessages(messages), ends)
}

/** A completion prompt; without offsets its levels end at fixed sizes. */
export function createTextPrompt (text: string, ends?: readonly number[]): Prompt {
  const defaults = DEFAULT_LEVEL_ENDS_TOKENS.map(tokens => tokens * CHARACTERS_PER_TOKEN)
  return createPrompt(text, ends ?? defaults)
}
