/** Exit codes of the command line, with which scripts distinguish outcomes. */
import { FailureCode, Verdict, type Failure } from 'foxtaillever-core'

export enum ExitCode {
  Done = 0,
  /** A comparison found differences, or a search found nothing. */
  Different = 1,
  /** The command line itself is wrong. */
  Usage = 2,
  /** A file is wrong; nothing was sent. */
  InvalidFile = 3,
  /** Refused; no part of the change is in force. */
  Refused = 4,
  /** The change may have taken effect; check before a retry. */
  Unknown = 5,
  /** The change was accepted, but was not in force at all instances in time. */
  NotEverywhere = 6,
  /** No instance answers. */
  Unreachable = 7,
  /** The token is missing or not known. */
  Unauthenticated = 8,
  /** A confirmation was required and not given. */
  NotConfirmed = 9
}

/** Meaning of each code, as the operators' page lists it. */
export const exitCodeMeanings: Record<ExitCode, string> = {
  [ExitCode.Done]: 'done',
  [ExitCode.Different]: 'a comparison found differences, or a search found nothing',
  [ExitCode.Usage]: 'the command line itself is wrong',
  [ExitCode.InvalidFile]: 'a file is wrong; nothing was sent',
  [ExitCode.Refused]: 'refused; nothing of it is in force',
  [ExitCode.Unknown]: 'it may have taken effect; look before trying again',
  [ExitCode.NotEverywhere]: 'accepted, but not in force everywhere in time',
  [ExitCode.Unreachable]: 'no instance answers',
  [ExitCode.Unauthenticated]: 'the token is missing or not known',
  [ExitCode.NotConfirmed]: 'asked for a confirmation and did not get one'
}

const exitCodeByFailure: Partial<Record<FailureCode, ExitCode>> = {
  [FailureCode.ConnectionRefused]: ExitCode.Unreachable,
  [FailureCode.Unauthenticated]: ExitCode.Unauthenticated
}

export function exitCodeOf (failure: Failure): ExitCode {
  return exitCodeByFailure[failure.code] ?? (failure.verdict === Verdict.NotRun ? ExitCode.Refused : ExitCode.Unknown)
}

const remedies: Partial<Record<FailureCode, string>> = {
  [FailureCode.ConnectionRefused]: 'Name another instance with --address, or list several in FOXTAILLEVER_ADDRESS.',
  [FailureCode.ConnectionLost]: 'Look with `foxtaillever config show` what is in force before trying again.',
  [FailureCode.Unauthenticated]: 'Set FOXTAILLEVER_TOKEN, or name a file with --token-file; its SHA-256 must stand under "operators" in the instance\'s settings.',
  [FailureCode.LogUnavailable]: 'The platform\'s log is down: instances go on with what is in force. Try again when it is back.',
  [FailureCode.NoConfiguration]: 'The instance has read no configuration yet. Publish one, or ask another instance.'
}

/** Describes what to do about a failure; empty when its message already does. */
export function describeRemedy (failure: Failure): string {
  return remedies[failure.code] ?? ''
}
