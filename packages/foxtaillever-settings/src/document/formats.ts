/**
 * Text formats that several settings share, each with its error message. The
 * invalid text itself is never quoted: it may be a secret.
 */
import { z } from 'zod'

export enum Format {
  Address = 'address',
  Digest = 'digest',
  Host = 'host',
  MemberKey = 'member-key',
  Name = 'name',
  Path = 'path',
  Variable = 'variable'
}

interface FormatRule {
  readonly pattern: RegExp
  readonly problem: string
  readonly mend: string
}

const octet = '(?:25[0-5]|2[0-4]\\d|1\\d\\d|[1-9]?\\d)'
const ipv4 = `(?:${octet}\\.){3}${octet}`
const ipv6 = '[0-9a-fA-F:.]*:[0-9a-fA-F:.]*'
const port = '(?:[1-9]\\d{0,3}|[1-5]\\d{4}|6[0-4]\\d{3}|65[0-4]\\d{2}|655[0-2]\\d|6553[0-5])'

const rules: Record<Format, FormatRule> = {
  [Format.Address]: {
    pattern: new RegExp(`^(?:${ipv4}|\\[${ipv6}\\]):${port}$`),
    problem: 'is not an IP number and port.',
    mend: 'Write it as 10.0.0.1:8080 or [fd00::1]:8080; names are not looked up.'
  },
  [Format.Digest]: {
    pattern: /^[0-9a-f]{64}$/,
    problem: 'is not a SHA-256 digest.',
    mend: 'Keys and tokens are never written in plain text: write the 64 digits that `printf %s KEY | sha256sum` prints.'
  },
  [Format.Host]: {
    pattern: new RegExp(`^(?:${ipv4}|${ipv6})$`),
    problem: 'is not an IP number.',
    mend: 'Write it as 10.0.0.1 or fd00::1; names are not looked up.'
  },
  [Format.MemberKey]: {
    pattern: /^[0-9a-f]{64}$/,
    problem: 'is not a key of 32 bytes.',
    mend: 'Write 64 hexadecimal digits, such as `openssl rand -hex 32` prints.'
  },
  [Format.Name]: {
    pattern: /^[a-z0-9][a-z0-9._-]{0,62}$/,
    problem: 'is not a name.',
    mend: 'Use 1 to 63 of a-z, 0-9, dot, dash and underscore, starting with a letter or digit.'
  },
  [Format.Path]: {
    pattern: /^\/[^\s?#]*$/,
    problem: 'is not a path.',
    mend: 'Write it from the first slash, without query, such as /citations.'
  },
  [Format.Variable]: {
    pattern: /^[A-Z_][A-Z0-9_]*$/,
    problem: 'is not the name of an environment variable.',
    mend: 'Use capitals, digits and underscore.'
  }
}

/** The message is the name of the format, by which the diagnostic finds its rule. */
export function formatted (format: Format): z.ZodString {
  return z.string().regex(rules[format].pattern, format)
}

export function ruleOf (message: string): FormatRule | undefined {
  return rules[message as Format]
}
