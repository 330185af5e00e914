/** Address, API key and HTTP dispatcher that an arrival is sent with. */
import type { Dispatcher } from 'undici'

export interface Sending {
  /** URL of an entry instance. */
  readonly address: string
  readonly key: string
  readonly dispatcher: Dispatcher
}
