/**
 * Installs and builds what is missing, so that the README's two commands are
 * enough on a machine with only Node and the package registry.
 */
import { spawnSync } from 'node:child_process'
import { existsSync, readFileSync, writeFileSync } from 'node:fs'

const stamp = 'node_modules/.prepared-lock'

function run (command, args) {
  const { status } = spawnSync(command, args, { stdio: ['ignore', 'inherit', 'inherit'] })
  if (status !== 0) {
    process.exit(status ?? 1)
  }
}

function isInstalled (lock) {
  return existsSync(stamp) && readFileSync(stamp, 'utf8') === lock
}

const lock = readFileSync('package-lock.json', 'utf8')
if (!isInstalled(lock)) {
  run('npm', ['ci', '--no-audit', '--no-fund', '--loglevel=error'])
  writeFileSync(stamp, lock)
}
run(process.execPath, ['node_modules/typescript/bin/tsc', '-b'])
