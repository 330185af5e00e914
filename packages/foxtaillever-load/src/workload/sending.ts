/** Where and as whom an arrival is sent. */
import type { Dispatcher } from 'undici'

export interface Sending {
  /** URL of an entry instance. */
  readonly address: string
  readonly key: string
  readonly dispatcher: Dispatcher
}
