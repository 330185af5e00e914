/**
 * Prompts and their levels. A prompt is nested: catalogue, client account's
 * instructions, question. Only the ends of levels are shared between requests,
 * so only there a prefix is hashed; placement never looks at single blocks.
 */
import createHasher from 'xxhash-wasm'

const hasher = await createHasher()

/** Rough size of a token in characters; engines report the true count. */
export const CHARACTERS_PER_TOKEN = 4

/** Prefixes shorter than this are not worth a placement of their own, tokens. */
export const SHORTEST_LEVEL_TOKENS = 16

/** Ends of levels for a prompt whose caller names none, in tokens. */
const DEFAULT_LEVEL_ENDS_TOKENS = [256, 1024, 4096, 16_384, 65_536]

/** The end of one level: everything from the start of the prompt to here. */
export interface PrefixLevel {
  /** Hash of the whole prefix up to here, 16 hexadecimal digits. */
  readonly hash: string
  /** Length of the whole prefix up to here, tokens. */
  readonly tokens: number
}

export interface Prompt {
  readonly text: string
  /** Estimated length, tokens. */
  readonly tokens: number
  /** Shortest prefix first; the last one is the whole prompt. */
  readonly levels: readonly PrefixLevel[]
}

export interface ChatMessage {
  readonly role: string
  readonly content: string
}

export function estimateTokens (characters: number): number {
  return Math.ceil(characters / CHARACTERS_PER_TOKEN)
}

/** 64-bit hash of a short text, 16 hexadecimal digits. */
export function hashText (text: string): string {
  return hasher.h64ToString(text)
}

/** 32-bit hash of a short text, for rendezvous scores. */
export function hashNumber (text: string, seed = 0): number {
  return hasher.h32(text, seed)
}

/** The text an engine sees for a conversation; one message is one level. */
export function renderMessages (messages: readonly ChatMessage[]): string {
  return messages.map(renderMessage).join('')
}

function renderMessage (message: ChatMessage): string {
  return `<${message.role}>${message.content}\n`
}

/**
 * Hashes a prompt once, level by level.
 * @param ends character offsets at which levels end, rising.
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
    if (tokens >= SHORTEST_LEVEL_TOKENS || end === text.length) {
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
