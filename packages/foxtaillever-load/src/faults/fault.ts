/**
 * Parses faults that are injected at given times of a run, written
 * `SECONDS TARGET NAME=VALUE ...`, for example `5 worker-2 slowFactor=8` or `10 log outage=true`. Names are those of the
 * stand-ins' control routes; `crash=true` and `leave=true` take effect at once.
 */
import { Left, Right, type Either } from 'purify-ts'

export type FaultValue = number | boolean | string

export interface Fault {
  /** Milliseconds after the start of the run. */
  readonly offsetMs: number
  /** Name of an engine or plain service, or one of log, list, weight-store, kept-cache-store. */
  readonly target: string
  readonly changes: Readonly<Record<string, FaultValue>>
}

function readValue (text: string): FaultValue {
  if (text === 'true' || text === 'false') {
    return text === 'true'
  }
  const number = Number(text)
  return text !== '' && Number.isFinite(number) ? number : text
}

export function parseFault (text: string): Either<string, Fault> {
  const [at = '', target = '', ...pairs] = text.trim().split(/\s+/)
  const seconds = Number(at)
  const entries = pairs.map(pair => pair.split('='))
  if (at === '' || !Number.isFinite(seconds) || seconds < 0 || target === '' || entries.length === 0 || entries.some(entry => entry.length !== 2)) {
    return Left(`Invalid fault "${text}": expected "SECONDS TARGET NAME=VALUE ...".`)
  }
  const changes = Object.fromEntries(entries.map(([name = '', value = '']) => [name, readValue(value)]))
  return Right({ offsetMs: seconds * 1000, target, changes })
}
