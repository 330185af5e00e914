/** Returns why an exchange is refused before it is sent to any server; undefined where it is not. */
import { Failure, FailureCode } from 'foxtaillever-core'
import { CauseKind } from 'foxtaillever-policy/crashes/suspicion'
import type { Quarantine } from 'foxtaillever-policy/crashes/quarantineTable'
import { earliestRetryTime } from 'foxtaillever-policy/relay/earliestRetryTime'
import { causesOf } from '../crashes/lostRequests.js'
import type { Exchange } from '../model/exchange.js'
import type { CrashRegistry, ExchangeContext } from './exchangeContext.js'

const reasons: Readonly<Record<CauseKind, (quarantine: Quarantine) => string>> = {
  [CauseKind.Request]: ({ servers }) => `This request crashed the ${servers.length} backend servers that ran it.`,
  [CauseKind.Level]: ({ id, servers }) => `Level ${id} of the prompt crashed ${servers.length} backend servers, and no request with it was answered.`
}

/** Why a request is not passed on that the end of a shutdown would cut before its answer usually begins; undefined where it is. */
export function findLateRefusal ({ route }: Exchange, { clock, directory, endsAt }: Pick<ExchangeContext, 'clock' | 'directory' | 'endsAt'>): Failure | undefined {
  const now = clock.now()
  const usualMs = directory.observations.usualTimeOf(route.name).value ?? 0
  return now + usualMs < endsAt()
    ? undefined
    : Failure.notRun(FailureCode.Leaving, 'This instance shuts down before the request can be answered.', earliestRetryTime(FailureCode.Leaving, now))
}

export function findRefusal (exchange: Exchange, crashes: Pick<CrashRegistry, 'findQuarantine' | 'recordRefusal'>, now: number): Failure | undefined {
  if (exchange.deadline <= now) {
    return Failure.notRun(FailureCode.DeadlinePassed, 'The deadline passed before the request was read whole.', earliestRetryTime(FailureCode.DeadlinePassed, now))
  }
  const quarantine = crashes.findQuarantine(causesOf(exchange))
  if (quarantine === undefined) {
    return undefined
  }
  crashes.recordRefusal(quarantine)
  return Failure.notRun(FailureCode.Quarantined, reasons[quarantine.kind](quarantine), quarantine.expiresAt)
}
