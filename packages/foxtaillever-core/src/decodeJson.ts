/** Decodes JSON text that other processes wrote. Whatever the text is, the result is a value or a reason, never an exception. */
import { Either, Left } from 'purify-ts/Either'

/** Checks a parsed value, and may throw: an error message that quotes the value can exceed the stack or the memory. */
export interface JsonDecoder<Value> {
  readonly decode: (value: unknown) => Either<string, Value>
}

/** Levels of lists and objects in each other; the deepest known format, a configuration, has five. */
const MAX_NESTING = 64

/** Characters of a reason, which may quote the whole value. */
const MAX_REASON = 200

const QUOTE = 0x22
const BACKSLASH = 0x5c

const OPEN_LIST = 0x5b
const CLOSE_LIST = 0x5d
const OPEN_OBJECT = 0x7b
const CLOSE_OBJECT = 0x7d

/** Whether lists and objects in the text are nested too deeply to be decoded. Other errors of the text are left to its parser. */
function isNestedTooDeeply (text: Buffer): boolean {
  let nesting = 0
  let isInString = false
  for (let index = 0; index < text.length; index += 1) {
    const byte = text[index] as number
    if (byte === QUOTE) {
      isInString = !isInString
    } else if (isInString) {
      index += byte === BACKSLASH ? 1 : 0
    } else if (byte === OPEN_LIST || byte === OPEN_OBJECT) {
      nesting += 1
      if (nesting > MAX_NESTING) {
        return true
      }
    } else if (byte === CLOSE_LIST || byte === CLOSE_OBJECT) {
      nesting -= 1
    }
  }
  return false
}

/** Parses JSON text of any form. @returns Left with the reason if it is no JSON or is nested too deeply. */
export function parseJson (text: Buffer | string): Either<string, unknown> {
  if (isNestedTooDeeply(typeof text === 'string' ? Buffer.from(text) : text)) {
    return Left(`nested more than ${MAX_NESTING} levels deep`)
  }
  return Either.encase(() => JSON.parse(text.toString()) as unknown).mapLeft(({ message }) => shorten(`not JSON: ${message}`))
}

/** Reads JSON text by a codec. @returns Left with the reason, of at most 200 characters, if it has another form. */
export function decodeJson<Value> (decoder: JsonDecoder<Value>, text: Buffer | string): Either<string, Value> {
  return parseJson(text)
    .chain(value => Either.encase(() => decoder.decode(value)).mapLeft(({ message }) => message))
    .chain<string, Value>(decoded => decoded)
    .mapLeft(shorten)
}

function shorten (reason: string): string {
  return reason.length <= MAX_REASON ? reason : `${reason.slice(0, MAX_REASON)}...`
}
