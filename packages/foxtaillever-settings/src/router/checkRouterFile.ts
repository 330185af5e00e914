/**
 * Finds contradictions between the parts of an entry instance's settings.
 */
import type { Finding } from '../diagnostic.js'
import { formatPath } from '../diagnostic.js'
import { findRepeatedIndexes } from '../document/findRepeatedIndexes.js'
import type { RouterFile } from './routerSchema.js'

export type Environment = Readonly<Record<string, string | undefined>>

type Check = (file: RouterFile, environment: Environment) => readonly Finding[]

const WILDCARD_HOSTS = ['0.0.0.0', '::']

function addressOf ({ host, port }: { readonly host: string, readonly port: number }): string {
  return host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`
}

/** Other instances connect to this host, so it must not be a wildcard address. */
const checkReachable: Check = file => (['control', 'gossip'] as const)
  .filter(part => WILDCARD_HOSTS.includes(file[part].host))
  .map(part => ({
    path: [part, 'host'],
    problem: `${part}.host stands for every address, so other instances cannot be told how to reach this one.`,
    mend: 'Write the IP number of this instance.'
  }))

const checkPorts: Check = ({ listen, control }) => listen.port !== 0 && listen.port === control.port && (listen.host === control.host || WILDCARD_HOSTS.includes(listen.host))
  ? [{ path: ['control', 'port'], problem: `control.port is ${control.port}, which listen already uses.`, mend: 'Give operators a port of their own, which callers cannot reach.' }]
  : []

const checkPeers: Check = ({ peers, gossip }) => [
  ...findRepeatedIndexes(peers, peer => peer).map(index => ({ path: ['peers', index], problem: `peers[${index}] is listed twice.`, mend: 'Keep one of the two.' })),
  ...peers.flatMap((peer, index) => peer === addressOf(gossip)
    ? [{ path: ['peers', index], problem: `peers[${index}] is this instance itself.`, mend: 'List the gossip addresses of other instances.' }]
    : [])
]

/** A claim whose record expires from the log first could be won twice. */
const checkClaims: Check = ({ limits, platform }) => limits.claimKeptMs < platform.logRetentionMs
  ? []
  : [{
      path: ['limits', 'claimKeptMs'],
      problem: `limits.claimKeptMs is ${limits.claimKeptMs}, but the log keeps records for ${platform.logRetentionMs} only, so a request could run twice.`,
      mend: 'Write less than platform.logRetentionMs; half of it is usual.'
    }]

const checkOperators: Check = ({ operators }) => {
  const digests = operators.flatMap(({ tokenDigests }, operator) => tokenDigests.map((digest, index) => ({ digest, path: ['operators', operator, 'tokenDigests', index] })))
  return [
    ...findRepeatedIndexes(operators, ({ name }) => name).map(index => ({ path: ['operators', index, 'name'], problem: `operators[${index}].name is taken by an operator above.`, mend: 'Give all digests of one operator in one entry.' })),
    ...findRepeatedIndexes(digests, ({ digest }) => digest).map(index => digests[index]).flatMap(repeat => repeat
      ? [{ path: repeat.path, problem: `${formatPath(repeat.path)} is listed twice, so the author of a change would be in doubt.`, mend: 'Give each operator a token of their own.' }]
      : [])
  ]
}

const keyPattern = /^[0-9a-f]{64}$/

function checkMemberKey ({ key, keyVariable }: RouterFile['memberKeys'][number], index: number, environment: Environment): readonly Finding[] {
  const path = ['memberKeys', index]
  if ((key === undefined) === (keyVariable === undefined)) {
    return [{ path, problem: `memberKeys[${index}] needs exactly one of "key" and "keyVariable".`, mend: 'Keep "keyVariable" where the file is kept with others.' }]
  }
  if (keyVariable === undefined || keyPattern.test(environment[keyVariable] ?? '')) {
    return []
  }
  const problem = environment[keyVariable] === undefined ? 'is not set' : 'does not hold a key of 32 bytes'
  return [{ path: [...path, 'keyVariable'], problem: `The environment variable ${keyVariable} ${problem}.`, mend: 'Set it to 64 hexadecimal digits, such as `openssl rand -hex 32` prints.' }]
}

const checkMemberKeys: Check = ({ memberKeys }, environment) => [
  ...findRepeatedIndexes(memberKeys, ({ id }) => id).map(index => ({ path: ['memberKeys', index, 'id'], problem: `memberKeys[${index}].id is taken by a key above.`, mend: 'Give the new key a new id.' })),
  ...memberKeys.flatMap((memberKey, index) => checkMemberKey(memberKey, index, environment))
]

const checkDistances: Check = ({ distances, failureDomain }) => {
  const domains = new Set(distances.flatMap(({ between }) => between))
  const unknownOwn = distances.length > 0 && !domains.has(failureDomain)
  return [
    ...(unknownOwn ? [{ path: ['failureDomain'], problem: `failureDomain is "${failureDomain}", which no entry of distances names.`, mend: `Write one of ${[...domains].sort().join(', ')}, or add its distances.` }] : []),
    ...distances.flatMap(({ between }, index) => between[0] === between[1]
      ? [{ path: ['distances', index, 'between'], problem: `distances[${index}].between names one failure domain twice.`, mend: 'Within a failure domain the distance is 0; leave the entry out.' }]
      : []),
    ...findRepeatedIndexes(distances, ({ between }) => [...between].sort().join(' ')).map(index => ({ path: ['distances', index], problem: `distances[${index}] gives a pair that an entry above gives too.`, mend: 'The distance holds both ways; keep one entry.' }))
  ]
}

const checks: readonly Check[] = [checkReachable, checkPorts, checkPeers, checkClaims, checkOperators, checkMemberKeys, checkDistances]

export function checkRouterFile (file: RouterFile, environment: Environment): readonly Finding[] {
  return checks.flatMap(check => check(file, environment))
}
