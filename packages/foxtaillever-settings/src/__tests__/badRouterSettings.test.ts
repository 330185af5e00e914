import { describe, it } from 'foxtaillever-testing'
import { formatErrors, LogLevel, parseRouterSettings } from '../index.js'

const key = '0123456789abcdef'.repeat(4)
const digest = 'fedcba9876543210'.repeat(4)

/** One setting per line, so that a change of one setting moves no other. */
const validSettings: Readonly<Record<string, string>> = {
  name: '"entry-1"',
  failureDomain: '"petrolina"',
  listen: '{ "host": "10.0.0.1", "port": 8080 }',
  control: '{ "host": "10.0.0.1", "port": 8081 }',
  gossip: '{ "host": "10.0.0.1", "port": 8082 }',
  peers: '["10.0.0.2:8082"]',
  platform: '{ "logAddress": "10.0.0.9:7000", "listAddress": "10.0.0.9:7001", "logRetentionMs": 86400000 }',
  operators: `[{ "name": "ana", "tokenDigests": ["${digest}"] }]`,
  memberKeys: `[{ "id": "one", "key": "${key}" }]`
}

function render (changes: Readonly<Record<string, string | undefined>>): string {
  const parts = Object.entries({ ...validSettings, ...changes }).flatMap(([name, value]) => value === undefined ? [] : [`  "${name}": ${value}`])
  return `{\n${parts.join(',\n')}\n}\n`
}

interface InvalidCase {
  readonly title: string
  readonly changes: Readonly<Record<string, string | undefined>>
  readonly messages: readonly string[]
}

const invalidCases: readonly InvalidCase[] = [
  {
    title: 'an unknown setting',
    changes: { peer: '[]' },
    messages: ['r.jsonc:11:3: peer is not a setting. Write "peers".']
  },
  {
    title: 'an unknown setting that is similar to none',
    changes: { platform: '{ "logAddress": "10.0.0.9:7000", "listAddress": "10.0.0.9:7001", "logRetentionMs": 86400000, "zookeeper": "x" }' },
    messages: ['r.jsonc:8:108: platform.zookeeper is not a setting. Known here: logAddress, listAddress, logRetentionMs.']
  },
  {
    title: 'a missing setting',
    changes: { failureDomain: undefined },
    messages: ['r.jsonc:1:1: failureDomain is missing. Add "failureDomain": Failure domain in which it runs.']
  },
  {
    title: 'a host name',
    changes: { listen: '{ "host": "localhost", "port": 8080 }' },
    messages: ['r.jsonc:4:15: listen.host is not an IP number. Write it as 10.0.0.1 or fd00::1; names are not looked up.']
  },
  {
    title: 'a port out of range',
    changes: { gossip: '{ "host": "10.0.0.1", "port": 70000 }' },
    messages: ['r.jsonc:6:35: gossip.port is 70000, above 65535. Write 65535 or less.']
  },
  {
    title: 'an address without a port',
    changes: { peers: '["10.0.0.2"]' },
    messages: ['r.jsonc:7:13: peers[0] is not an IP number and port. Write it as 10.0.0.1:8080 or [fd00::1]:8080; names are not looked up.']
  },
  {
    title: 'a time in text',
    changes: { limits: '{ "idleTimeoutMs": "75s" }' },
    messages: ['r.jsonc:11:15: limits.idleTimeoutMs is text, not a number. Write 75000, without quotes, in milliseconds.']
  },
  {
    title: 'a time in seconds',
    changes: { limits: '{ "idleTimeoutMs": 75 }' },
    messages: ['r.jsonc:11:15: limits.idleTimeoutMs is 75, below 100. Write 100 or more, in milliseconds. If 75 s was meant, write 75000.']
  },
  {
    title: 'a name with another unit',
    changes: { limits: '{ "idleTimeoutSeconds": 75 }' },
    messages: ['r.jsonc:11:15: limits.idleTimeoutSeconds is not a setting. Write "idleTimeoutMs", in milliseconds.']
  },
  {
    title: 'a size in megabytes',
    changes: { limits: '{ "bodyBytes": "4MB" }' },
    messages: ['r.jsonc:11:15: limits.bodyBytes is text, not a number. Write 4194304, without quotes, in bytes.']
  },
  {
    title: 'a token in plain text',
    changes: { operators: '[{ "name": "ana", "tokenDigests": ["correct horse"] }]' },
    messages: ['r.jsonc:9:51: operators[0].tokenDigests[0] is not a SHA-256 digest. Keys and tokens are never written in plain text: write the 64 digits that `printf %s KEY | sha256sum` prints.']
  },
  {
    title: 'one token for two operators',
    changes: { operators: `[{ "name": "ana", "tokenDigests": ["${digest}"] }, { "name": "rui", "tokenDigests": ["${digest}"] }]` },
    messages: ['r.jsonc:9:156: operators[1].tokenDigests[0] is listed twice, so the author of a change would be in doubt. Give each operator a token of their own.']
  },
  {
    title: 'a key both written and named',
    changes: { memberKeys: `[{ "id": "one", "key": "${key}", "keyVariable": "KEY" }]` },
    messages: ['r.jsonc:10:18: memberKeys[0] needs exactly one of "key" and "keyVariable". Keep "keyVariable" where the file is kept with others.']
  },
  {
    title: 'a variable that is not set',
    changes: { memberKeys: '[{ "id": "one", "keyVariable": "UNSET_KEY" }]' },
    messages: ['r.jsonc:10:33: The environment variable UNSET_KEY is not set. Set it to 64 hexadecimal digits, such as `openssl rand -hex 32` prints.']
  },
  {
    title: 'a log level that does not exist',
    changes: { logLevel: '"warning"' },
    messages: ['r.jsonc:11:3: logLevel is "warning", which is not one of error, warn, info, debug. Write "warn".']
  },
  {
    title: 'callers and operators on one port',
    changes: { control: '{ "host": "10.0.0.1", "port": 8080 }' },
    messages: ['r.jsonc:5:36: control.port is 8080, which listen already uses. Give operators a port of their own, which callers cannot reach.']
  },
  {
    title: 'an address that others cannot reach',
    changes: { gossip: '{ "host": "0.0.0.0", "port": 8082 }' },
    messages: ['r.jsonc:6:15: gossip.host stands for every address, so other instances cannot be told how to reach this one. Write the IP number of this instance.']
  },
  {
    title: 'itself among its peers',
    changes: { peers: '["10.0.0.1:8082"]' },
    messages: ['r.jsonc:7:13: peers[0] is this instance itself. List the gossip addresses of other instances.']
  },
  {
    title: 'claims that outlive the log',
    changes: { limits: '{ "claimKeptMs": 90000000 }' },
    messages: ['r.jsonc:11:15: limits.claimKeptMs is 90000000, but the log keeps records for 86400000 only, so a request could run twice. Write less than platform.logRetentionMs; half of it is usual.']
  },
  {
    title: 'a failure domain that the distances do not name',
    changes: { distances: '[{ "between": ["recife", "juazeiro"], "oneWayMs": 0.5 }]' },
    messages: ['r.jsonc:3:3: failureDomain is "petrolina", which no entry of distances names. Write one of juazeiro, recife, or add its distances.']
  },
  {
    title: 'one pair of failure domains twice',
    changes: { distances: '[{ "between": ["petrolina", "recife"], "oneWayMs": 0.5 }, { "between": ["recife", "petrolina"], "oneWayMs": 3 }]' },
    messages: ['r.jsonc:11:74: distances[1] gives a pair that an entry above gives too. The distance holds both ways; keep one entry.']
  },
  {
    title: 'a setting written twice',
    changes: { control: '{ "host": "10.0.0.1", "port": 8081, "port": 9081 }' },
    messages: ['r.jsonc:5:50: control.port is written twice. Keep one of the two.']
  },
  {
    title: 'several errors, in the order of the file',
    changes: { name: '"Entry One"', peers: '"10.0.0.2:8081"' },
    messages: [
      'r.jsonc:2:3: name is not a name. Use 1 to 63 of a-z, 0-9, dot, dash and underscore, starting with a letter or digit.',
      'r.jsonc:7:3: peers is text, not a list. Write a list.'
    ]
  }
]

function findErrors (text: string): readonly string[] {
  return formatErrors(parseRouterSettings('r.jsonc', text, {}))
}

describe('settings of an entry instance', () => {
  describe('with an error', () => {
    for (const { title, changes, messages } of invalidCases) {
      it(`report ${title}`, t => {
        t.deepEqual(findErrors(render(changes)), messages)
      })
    }

    it('report where the text is not JSON', t => {
      t.deepEqual(findErrors('{\n  "name": "a" "b"\n}'), ['r.jsonc:2:15: This is not JSON with comments: comma expected. Check commas, quotes and brackets just before this place.'])
    })

    it('report an empty file', t => {
      t.deepEqual(findErrors(''), ['r.jsonc:1:1: This is not JSON with comments: value expected. Check commas, quotes and brackets just before this place.'])
    })
  })

  describe('without errors', () => {
    it('are accepted, with comments and defaults', t => {
      const settings = parseRouterSettings('r.jsonc', `// comment\n${render({})}`, {}).unsafeCoerce()
      t.is(settings.logLevel, LogLevel.Info)
      t.is(settings.limits.idleTimeoutMs, 75_000)
    })

    // A dump or a log line of the settings must not show the key by which instances
    // authenticate each other: a reader could impersonate an instance.
    it('hide keys when printed', t => {
      const settings = parseRouterSettings('r.jsonc', render({}), {}).unsafeCoerce()
      t.is(settings.memberKeys[0]?.secret.reveal(), key)
      t.false(JSON.stringify(settings).includes(key))
      t.false(String(settings.memberKeys[0]?.secret).includes(key))
    })
  })
})
