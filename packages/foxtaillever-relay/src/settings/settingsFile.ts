/**
 * Reloads a settings file while the process runs. The file may change with a
 * signal or without one, so it is also polled. When it cannot be read or parsed,
 * the last valid settings stay, and each reason is reported once.
 */
import type { Cancellation, Clock } from 'foxtaillever-core'
import { Either } from 'purify-ts'

/** A change takes effect soon enough for an operator, and one read is cheap, milliseconds. */
const POLL_INTERVAL_MS = 2000

export interface SettingsFileOptions<Settings> {
  readonly clock: Clock
  /** The file's text; may throw. */
  readonly readText: () => string
  /** Left says what is wrong. */
  readonly parse: (text: string) => Either<string, Settings>
  readonly onChanged: (settings: Settings) => void
  /** The file cannot be read or has no valid settings; the last valid ones stay. */
  readonly onRejected: (reason: string) => void
}

export class SettingsFile<Settings> {
  private lastText: string | undefined
  private lastReason: string | undefined
  private cancelPoll: Cancellation = () => {}

  private constructor (private readonly options: SettingsFileOptions<Settings>) {}

  static create<Settings> (options: SettingsFileOptions<Settings>): SettingsFile<Settings> {
    return new SettingsFile(options)
  }

  /** Reads the settings at the start of the process; Left says what is wrong. */
  readFirst (): Either<string, Settings> {
    return this.readText().chain(text => {
      this.lastText = text
      return this.options.parse(text)
    })
  }

  /** Reads the file now, for example after a signal. */
  reload (): void {
    const { parse, onChanged } = this.options
    this.readText().caseOf({
      Left: reason => this.reject(reason),
      Right: text => {
        if (text === this.lastText) {
          return
        }
        this.lastText = text
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

  /** Reads the file regularly until stopped, even if a change cannot be applied. */
  startPolling (): void {
    const { clock } = this.options
    this.cancelPoll = clock.at(clock.now() + POLL_INTERVAL_MS, () => {
      this.startPolling()
      this.reload()
    })
  }

  stop (): void {
    this.cancelPoll()
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
