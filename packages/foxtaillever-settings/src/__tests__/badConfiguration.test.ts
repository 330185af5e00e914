import { describe, it } from 'foxtaillever-testing'
import { formatErrors, parseConfigurationFile } from '../index.js'

const digest = '0123456789abcdef'.repeat(4)

/** One part per line, so that a change of one part moves no other. */
const validParts: Readonly<Record<string, string>> = {
  accounts: `{ "vale": { "keyDigests": ["${digest}"], "weight": 2, "priority": "standard", "tokensPerSecond": 900, "concurrentRequests": 8 } }`,
  servers: '{ "engine-1": { "kind": "language", "address": "10.0.0.5:8000", "failureDomain": "recife", "models": ["feed"], "slots": 8, "prefillTokensPerSecond": 9000, "decodeTokensPerSecond": 900, "cacheTokens": 90000 }, "orders-1": { "kind": "plain", "address": "10.0.0.6:8000", "failureDomain": "recife", "slots": 8 } }',
  models: '{ "feed": { "weightsVersion": "1" } }',
  services: '{ "orders": { "path": "/orders", "servers": ["orders-1"], "calls": [{ "method": "POST", "path": "/", "idempotent": false }], "concurrentRequests": 4, "timeoutMs": 5000 } }',
  presets: '{ "ordinary-days": {}, "peaks": {}, "maintenance": {} }'
}

interface InvalidCase {
  readonly title: string
  readonly part: string
  /** Text to replace in the valid part. */
  readonly from: string
  readonly to: string
  readonly messages: readonly string[]
}

const invalidCases: readonly InvalidCase[] = [
  {
    title: 'a weight of zero',
    part: 'accounts',
    from: '"weight": 2',
    to: '"weight": 0',
    messages: ['c.jsonc:2:111: accounts.vale.weight is 0, not above 0. Write more than 0.']
  },
  {
    title: 'an account key in plain text',
    part: 'accounts',
    from: digest,
    to: 'sk-live-1',
    messages: ['c.jsonc:2:42: accounts.vale.keyDigests[0] is not a SHA-256 digest. Keys and tokens are never written in plain text: write the 64 digits that `printf %s KEY | sha256sum` prints.']
  },
  {
    title: 'a class that does not exist',
    part: 'accounts',
    from: '"standard"',
    to: '"high"',
    messages: ['c.jsonc:2:124: accounts.vale.priority is "high", which is not one of priority, standard, bulk. Write one of priority, standard, bulk.']
  },
  {
    title: 'one key for two accounts',
    part: 'accounts',
    from: '{ "vale"',
    to: `{ "serra": { "keyDigests": ["${digest}"], "weight": 2, "priority": "bulk", "tokensPerSecond": 9, "concurrentRequests": 8 }, "vale"`,
    messages: ['c.jsonc:2:219: accounts.vale.keyDigests[0] is listed twice, so the account of a request would be in doubt. Give each client account keys of its own.']
  },
  {
    title: 'a server of a model that does not exist',
    part: 'servers',
    from: '["feed"]',
    to: '["feet"]',
    messages: ['c.jsonc:3:116: servers["engine-1"].models[0] names the model "feet", which does not exist. Write "feed", or add "feet".']
  },
  {
    title: 'a language server without speed',
    part: 'servers',
    from: '"decodeTokensPerSecond": 900, ',
    to: '',
    messages: ['c.jsonc:3:16: servers["engine-1"].decodeTokensPerSecond is 0 for a language server, so no placement could be reckoned. Write what the engine was measured at.']
  },
  {
    title: 'a plain server with models',
    part: 'servers',
    from: '"slots": 8 }',
    to: '"slots": 8, "models": ["feed"] }',
    messages: ['c.jsonc:3:321: servers["orders-1"] is a plain server with models. Write "kind": "language", or take out the models.']
  },
  {
    title: 'an address that is a name',
    part: 'servers',
    from: '10.0.0.6:8000',
    to: 'orders.local:8000',
    messages: ['c.jsonc:3:254: servers["orders-1"].address is not an IP number and port. Write it as 10.0.0.1:8080 or [fd00::1]:8080; names are not looked up.']
  },
  {
    title: 'two servers at one address',
    part: 'servers',
    from: '10.0.0.6:8000',
    to: '10.0.0.5:8000',
    messages: ['c.jsonc:3:254: servers["orders-1"].address is taken by a backend server above. One address is one backend server; correct one of the two.']
  },
  {
    title: 'a service of a server that does not exist',
    part: 'services',
    from: '["orders-1"]',
    to: '["orders-2"]',
    messages: ['c.jsonc:5:60: services.orders.servers[0] names the backend server "orders-2", which does not exist. Write "orders-1", or add "orders-2".']
  },
  {
    title: 'a plain service on a model engine',
    part: 'services',
    from: '["orders-1"]',
    to: '["engine-1"]',
    messages: ['c.jsonc:5:60: services.orders.servers[0] names the language server "engine-1" for a plain service. Name a server with "kind": "plain".']
  },
  {
    title: 'a call that never applies because an earlier one matches first',
    part: 'services',
    from: '"calls": [',
    to: '"calls": [{ "method": "POST", "path": "/", "idempotent": true }, ',
    messages: ['c.jsonc:5:138: services.orders.calls[1] never counts: an entry above matches all of it. Put the longer path first.']
  },
  {
    title: 'a timeout in seconds',
    part: 'services',
    from: '5000',
    to: '5',
    messages: ['c.jsonc:5:165: services.orders.timeoutMs is 5, below 100. Write 100 or more, in milliseconds. If 5 s was meant, write 5000.']
  },
  {
    title: 'a timeout with its unit in the text',
    part: 'services',
    from: '5000',
    to: '"5s"',
    messages: ['c.jsonc:5:165: services.orders.timeoutMs is text, not a number. Write 5000, without quotes, in milliseconds.']
  },
  {
    title: 'a share in percent',
    part: 'presets',
    from: '"peaks": {}',
    to: '"peaks": { "retryShare": 10 }',
    messages: ['c.jsonc:6:48: presets.peaks.retryShare is 10, above 1. Write 1 or less, as a share from 0 to 1. If 10% was meant, write 0.1.']
  },
  {
    title: 'a preset that is missing',
    part: 'presets',
    from: ', "maintenance": {}',
    to: '',
    messages: ['c.jsonc:6:3: presets.maintenance is missing. Add "maintenance".']
  },
  {
    title: 'a preset that does not exist',
    part: 'presets',
    from: '"peaks": {}',
    to: '"peaks": {}, "holidays": {}',
    messages: ['c.jsonc:6:50: presets.holidays is not a setting. Known here: ordinary-days, peaks, maintenance.']
  },
  {
    title: 'a placement that does not exist',
    part: 'presets',
    from: '"peaks": {}',
    to: '"peaks": { "placement": "least-outstanding-requests" }',
    messages: ['c.jsonc:6:48: presets.peaks.placement is "least-outstanding-requests", which is not one of random, round-robin, least-outstanding, prefix-affinity, expected-first-token. Write one of random, round-robin, least-outstanding, prefix-affinity, expected-first-token.']
  }
]

function render ({ part, from, to }: Pick<InvalidCase, 'part' | 'from' | 'to'>): string {
  const parts = Object.entries(validParts).map(([name, text]) => `  "${name}": ${name === part ? text.replace(from, to) : text}`)
  return `{\n${parts.join(',\n')}\n}\n`
}

describe('configuration file', () => {
  describe('with an error', () => {
    for (const invalidCase of invalidCases) {
      it(`reports ${invalidCase.title}`, t => {
        t.deepEqual(formatErrors(parseConfigurationFile('c.jsonc', render(invalidCase))), invalidCase.messages)
      })
    }
  })

  it('is accepted when valid', t => {
    t.true(parseConfigurationFile('c.jsonc', render({ part: '', from: '', to: '' })).isRight())
  })
})
