/** How a run ended, for the log. */
export enum ExchangeEnd {
  Answered = 'answered',
  Failed = 'failed',
  CallerGone = 'caller-gone'
}
