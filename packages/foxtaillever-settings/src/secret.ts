/**
 * Text that must not reach a log, a dump or an error. Printing or serializing
 * a secret gives a mark in its place; only `reveal` gives the text.
 */
import { inspect } from 'node:util'

const MARK = '[secret]'

export class Secret {
  // A private field, so that no walk over own properties finds the text.
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
    return MARK
  }

  toString (): string {
    return MARK
  }

  [inspect.custom] (): string {
    return MARK
  }
}
