export default {
  files: ['packages/*/dist/**/__tests__/**/*.test.js', 'platform/dist/**/__tests__/**/*.test.js', '!packages/foxtaillever-proof/dist/clients/**'],
  watchMode: { ignoreChanges: ['**/*.ts'] },
  workerThreads: false,
  concurrency: 6,
  timeout: '2m'
}
