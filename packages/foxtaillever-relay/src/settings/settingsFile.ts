/**
 * Follows a settings file while the process runs. The file may change with a
 * signal or without one, so it is also looked at now and then. What cannot be
 * read changes nothing: the last good settings stay, and the reason is told
 * once for each wrong content.
 */
import type { Cancellation, Clock } from 'foxtaillever-core'
import { Either } from 'purify-ts'

/** Between two looks, milliseconds: soon for an operator, and a cheap read each. */
const LOOK_MS = 2000

export interface SettingsFileOptions<Settings> {
  readonly clock: Clock
  /** The file's text; may throw. */
  readonly readText: () => string
  /** Left says what is wrong. */
  readonly parse: (text: string) => Either<string, Settings>
  readonly onChanged: (settings: Settings) => void
  /** The file cannot be read or holds no valid settings; the last good ones stay. */
  readonly onRejected: (reason: string) => void
}

export class SettingsFile<Settings> {
  private last: string | undefined
  private lastReason: string | undefined
  private cancelLook: Cancellation = () => {}

  private constructor (private readonly options: SettingsFileOptions<Settings>) {}

  static create<Settings> (options: SettingsFileOptions<Settings>): SettingsFile<Settings> {
    return new SettingsFile(options)
  }

  /** The settings at the start; Left says what is wrong. */
  readFirst (): Either<string, Settings> {
    return this.readText().chain(text => {
      this.last = text
      return this.options.parse(text)
    })
  }

  /** Looks at once, as after a signal. */
  look (): void {
    const { parse, onChanged } = this.options
    this.readText().caseOf({
      Left: reason => this.reject(reason),
      Right: text => {
        if (text === this.last) {
          return
        }
        this.last = text
        parse(text).caseOf({
          Left: reason => this.reject(reason),
          Right: settings => {
            this.lastReason = undefined
            onChanged(settings)
          }
        })
      }
    })
  }

  /** Looks now and then until stopped. */
  follow (): void {
    const { clock } = this.options
    this.cancelLook = clock.at(clock.now() + LOOK_MS, () => {
      this.look()
      this.follow()
    })
  }

  stop (): void {
    this.cancelLook()
  }

  private readText (): Either<string, string> {
    return Either.encase(this.options.readText).mapLeft(({ message }) => message)
  }

  private reject (reason: string): void {
    if (reason !== this.lastReason) {
      this.lastReason = reason
      this.options.onRejected(reason)
    }
  }
}
