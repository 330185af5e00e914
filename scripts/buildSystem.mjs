/**
 * Bundles the entry process of the platform into target/, one file, so that it starts fast and small.
 *
 * As CommonJS: an ECMAScript module that imports one function of `node:fs` makes Node load all that `node:fs` can
 * load lazily, streams and promises with it, which is a sixth of a start.
 */
import { build } from 'esbuild'

await build({
  entryPoints: { entry: 'platform/src/main.ts' },
  outdir: 'target',
  outExtension: { '.js': '.cjs' },
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  // Packages of this workspace are taken from their sources, so that nothing is written outside target/.
  conditions: ['source'],
  minifySyntax: true,
  legalComments: 'none'
})
