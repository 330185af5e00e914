/**
 * Text that must not reach a log, a dump or an error. Printing or serializing
 * a secret gives a placeholder; only `reveal` returns the text.
 */
import { inspect } from 'node:util'

const REDACTED = '[secret]'

export class Secret {
  // A private field, so that code which enumerates properties cannot find the text.
  readonly #text: string

  private constructor (text: string) {
    this.#text = text
  }

  static create (text: string): Secret {
    return new Secret(text)
  }

  reveal (): string {
    return this.#text
  }

  toJSON (): string {
    return REDACTED
  }

  toString (): string {
    return REDACTED
  }

  [inspect.custom] (): string {
    return REDACTED
  }
}
