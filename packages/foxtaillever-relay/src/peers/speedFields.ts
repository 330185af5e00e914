/** Encoding of a server's speed: the last two elements of a load entry, absent where the service's speed applies. */
import { isWeightStep, type ObservedSpeed } from 'foxtaillever-policy/relay/serverSpeed'

/** Speed in tokens a millisecond, 0 if unknown, and step of the home weight. */
export type SpeedFields = readonly [number?, number?]

export function packSpeed (speed: ObservedSpeed | undefined): SpeedFields {
  return speed === undefined ? [] : [Math.max(speed.tokensPerMs === undefined ? 0 : 1, Math.round(speed.tokensPerMs ?? 0)), speed.weightStep]
}

/** Undefined where the service's speed applies. Rejects invalid values: one would move the homes of all levels. */
export function readSpeed ([tokensPerMs = 0, weightStep = 0]: SpeedFields): ObservedSpeed | undefined {
  const isKnown = Number.isFinite(tokensPerMs) && tokensPerMs > 0
  const step = isWeightStep(weightStep) ? weightStep : 0
  return isKnown || step !== 0 ? { tokensPerMs: isKnown ? tokensPerMs : undefined, weightStep: step } : undefined
}
