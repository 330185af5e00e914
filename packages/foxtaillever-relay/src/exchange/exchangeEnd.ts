/** What a run came to, for the log. */
export enum ExchangeEnd {
  Answered = 'answered',
  Failed = 'failed',
  CallerGone = 'caller-gone'
}
