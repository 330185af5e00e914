/** Crowds of clients play one at a time, apart from the other tests. */
export default {
  files: ['packages/foxtaillever-proof/dist/clients/**/__tests__/**/*.test.js'],
  watchMode: { ignoreChanges: ['**/*.ts'] },
  workerThreads: false,
  serial: true,
  concurrency: 1,
  timeout: '2m'
}
