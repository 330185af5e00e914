/** Bundles the entry process of the platform into target/, one file, so that it starts fast and small. */
import { build } from 'esbuild'

await build({
  entryPoints: { entry: 'platform/src/main.ts' },
  outdir: 'target',
  outExtension: { '.js': '.mjs' },
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  // Libraries that are CommonJS load Node's own modules by require.
  banner: { js: 'import { createRequire as createBundleRequire } from \'node:module\'; const require = createBundleRequire(import.meta.url)' },
  // Packages of this workspace are taken from their sources, so that nothing is written outside target/.
  conditions: ['source'],
  minifySyntax: true,
  legalComments: 'none'
})
