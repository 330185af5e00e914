/**
 * Prompts and their levels. A prompt is nested: catalogue, client account's
 * instructions, question. Requests share only prefixes that end with a level.
 */

/** Estimated size of a token in characters; engines report the exact count. */
export const CHARACTERS_PER_TOKEN = 4

/** Prefixes shorter than this are not placed on their own, tokens: they save too little. */
export const MIN_LEVEL_TOKENS = 16

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

/** The text that an engine receives for a conversation; one message is one level. */
export function renderMessages (messages: readonly ChatMessage[]): string {
  return messages.map(renderMessage).join('')
}

/** The text of one message. */
export function renderMessage (message: ChatMessage): string {
  return `<${message.role}>${message.content}\n`
}
