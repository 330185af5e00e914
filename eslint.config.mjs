import neostandard from 'neostandard'

/**
 * Dependencies between packages point one way only. The table names, for each
 * package, what it may not import; tests are exempt where a stand-in is needed.
 */
const network = ['fastify', 'undici', '@trpc/*', 'node:net', 'node:http', 'node:https', 'node:dgram', 'node:fs', 'node:fs/*']
const above = ['foxtaillever', 'foxtaillever-router', 'foxtaillever-load', 'foxtaillever-standins']
const forbidden = {
  'foxtaillever-core': [...network, ...above, 'foxtaillever-policy', 'foxtaillever-fleet', 'foxtaillever-settings', 'foxtaillever-control', 'foxtaillever-testing'],
  'foxtaillever-policy': [...network, ...above, 'foxtaillever-fleet', 'foxtaillever-settings', 'foxtaillever-control', 'foxtaillever-testing', 'node:timers', 'node:crypto'],
  'foxtaillever-fleet': [...above, 'foxtaillever-policy', 'foxtaillever-settings', 'foxtaillever-control', 'foxtaillever-testing'],
  'foxtaillever-settings': [...above, 'foxtaillever-policy', 'foxtaillever-fleet', 'foxtaillever-control', 'foxtaillever-testing'],
  // The control protocol speaks of the changes and publications that fleet defines.
  'foxtaillever-control': [...above, 'foxtaillever-policy', 'foxtaillever-testing'],
  'foxtaillever-router': ['foxtaillever', 'foxtaillever-load', 'foxtaillever-standins', 'foxtaillever-testing'],
  'foxtaillever-telemetry': [...above, 'foxtaillever-policy', 'foxtaillever-fleet', 'foxtaillever-settings', 'foxtaillever-control', 'foxtaillever-testing'],
  'foxtaillever-relay': ['foxtaillever', 'foxtaillever-router', 'foxtaillever-load', 'foxtaillever-standins', 'foxtaillever-control', 'foxtaillever-testing', 'foxtaillever-platform'],
  'foxtaillever-standins': ['foxtaillever', 'foxtaillever-router', 'foxtaillever-load', 'foxtaillever-policy', 'foxtaillever-fleet', 'foxtaillever-testing'],
  foxtaillever: ['foxtaillever-router', 'foxtaillever-standins', 'foxtaillever-load', 'foxtaillever-testing']
}

const layering = Object.entries(forbidden).map(([name, group]) => ({
  files: [`packages/${name}/src/**/*.ts`],
  ignores: ['**/__tests__/**', '**/__fixtures__/**'],
  rules: {
    'no-restricted-imports': ['error', {
      patterns: group.map(entry => ({ regex: `^${entry.replace('/*', '/.*')}$`, message: `${name} may not import this; see docs/ARCHITECTURE.md.` }))
    }]
  }
}))

const purity = {
  files: ['packages/foxtaillever-policy/src/**/*.ts'],
  ignores: ['**/__tests__/**'],
  rules: {
    'no-restricted-globals': ['error', 'setTimeout', 'setInterval', 'setImmediate', 'fetch'],
    'no-restricted-properties': ['error',
      { object: 'Date', property: 'now', message: 'Time is passed in.' },
      { object: 'Math', property: 'random', message: 'Randomness is passed in.' }]
  }
}

/** Names of the users' wire belong into platform/ and into the stand-ins that speak it. */
const wireNames = /x-(server-stamp|not-executed|expect-instance|expect-version|cache-salt|kv-fetch|kv-save|prompt-prefix|token-counts|weight-versions|deadline-ms)|keyed\\.|^server-(leaving|limit)$|log-(read|append|newest)|kv-events/i.source
const translation = {
  files: ['packages/*/src/**/*.ts'],
  ignores: ['packages/foxtaillever-standins/**', '**/__tests__/**', '**/__fixtures__/**'],
  rules: {
    'no-restricted-syntax': ['error', { selector: `Literal[value=/${wireNames}/i]`, message: 'Only platform/ knows the names of the users\' wire.' }]
  }
}

export default [
  ...neostandard({ ts: true, ignores: ['**/dist/**', 'target/**', 'journal/**', 'node_modules/**'] }),
  ...layering,
  purity,
  translation
]
