/**
 * One side of a comparison: a placement policy by name, a named set of preset
 * values, or the addresses of another build's running instances.
 */
import { PlacementPolicy, type Preset } from 'foxtaillever-core'
import { Left, Right, type Either } from 'purify-ts'

export interface Variant {
  readonly name: string
  readonly preset: Partial<Preset>
  /** URLs of running entry instances; empty for an embedded deployment. */
  readonly targets: readonly string[]
}

const policies: readonly string[] = Object.values(PlacementPolicy)

const USAGE = `A variant is one of ${policies.join(', ')}, or NAME={"placement":...,"queueLimit":...}, or NAME=@http://IP:PORT,http://IP:PORT`

function parsePreset (name: string, text: string): Either<string, Variant> {
  try {
    const preset = JSON.parse(text) as Partial<Preset>
    const isKnown = preset.placement === undefined || policies.includes(preset.placement)
    return isKnown ? Right({ name, preset, targets: [] }) : Left(USAGE)
  } catch {
    return Left(USAGE)
  }
}

export function parseVariant (text: string): Either<string, Variant> {
  const [, name = '', value = ''] = /^([\w-]+)=(.+)$/.exec(text) ?? []
  if (name === '') {
    return policies.includes(text) ? Right({ name: text, preset: { placement: text as PlacementPolicy }, targets: [] }) : Left(USAGE)
  }
  return value.startsWith('@') ? Right({ name, preset: {}, targets: value.slice(1).split(',') }) : parsePreset(name, value)
}
