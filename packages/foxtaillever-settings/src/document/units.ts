/**
 * Units that end the name of a setting, and other ways in which people write
 * them.
 */

/** How a value is written, by the suffix of the setting's name. */
const unitOfSuffix: Readonly<Record<string, string>> = {
  Ms: 'in milliseconds',
  Bytes: 'in bytes',
  PerSecond: 'as a number per second',
  Tokens: 'in tokens',
  Share: 'as a share from 0 to 1'
}

/** Factor from each written unit to the unit of the setting, by the suffix of the setting's name. */
const unitFactors: Readonly<Record<string, Readonly<Record<string, number>>>> = {
  Ms: { ms: 1, s: 1000, sec: 1000, second: 1000, seconds: 1000, m: 60_000, min: 60_000, minute: 60_000, minutes: 60_000, h: 3_600_000 },
  Bytes: { b: 1, bytes: 1, k: 1024, kb: 1024, kib: 1024, m: 1_048_576, mb: 1_048_576, mib: 1_048_576 },
  Share: { '%': 0.01, percent: 0.01 }
}

/** Suffixes that mean a unit, also in names that are not settings. */
const anyUnitSuffix = /(Millis|Milliseconds|Seconds|Secs|Sec|S|Minutes|Mins|Min|Ms|Kilobytes|Megabytes|KiB|MiB|Kb|KB|Mb|MB|Bytes|Percent|Share)$/

function suffixOf (name: string): string | undefined {
  return Object.keys(unitOfSuffix).find(suffix => name.endsWith(suffix))
}

/** How the value of a setting is written, derived from the setting's name. */
export function unitOf (name: string): string | undefined {
  const suffix = suffixOf(name)
  return suffix && unitOfSuffix[suffix]
}

/** The name without its unit, to find the setting that was meant. */
export function withoutUnit (name: string): string {
  return name.replace(anyUnitSuffix, '').toLowerCase()
}

/** Parses text such as `30s` to a number in the unit of the setting. */
export function parseNumberWithUnit (name: string, text: string): number | undefined {
  const match = /^\s*(\d+(?:\.\d+)?)\s*([a-z%]*)\s*$/i.exec(text)
  const suffix = suffixOf(name)
  if (!match) {
    return undefined
  }
  const unit = (match[2] ?? '').toLowerCase()
  const factor = unit === '' ? 1 : unitFactors[suffix ?? '']?.[unit]
  return factor === undefined ? undefined : Number((Number(match[1]) * factor).toPrecision(12))
}
