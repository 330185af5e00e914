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

export default [
  ...neostandard({ ts: true, ignores: ['**/dist/**', 'node_modules/**'] }),
  ...layering,
  purity
]
