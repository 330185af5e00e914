/** Returns why an exchange is refused before it is sent to any server; undefined where it is not. */
import { Failure, FailureCode } from 'foxtaillever-core'
import { earliestRetryTime } from 'foxtaillever-policy/relay/earliestRetryTime'
import type { Exchange } from '../model/exchange.js'
import type { SuspectRegistry } from './exchangeContext.js'

export function findRefusal (exchange: Exchange, suspects: Pick<SuspectRegistry, 'isRefused' | 'refusedUntil'>, now: number): Failure | undefined {
  if (exchange.deadline <= now) {
    return Failure.notRun(FailureCode.DeadlinePassed, 'The deadline passed before the request was read whole.', earliestRetryTime(FailureCode.DeadlinePassed, now))
  }
  return suspects.isRefused(exchange, now)
    ? Failure.notRun(FailureCode.Quarantined, 'This request crashed the backend servers that ran it.', suspects.refusedUntil(exchange))
    : undefined
}
