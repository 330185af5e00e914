import { existsSync, readdirSync, readFileSync } from 'node:fs'
import { dirname, join, relative } from 'node:path'
import { describe, it } from 'foxtaillever-testing'
import { createCli, exitCodeMeanings } from '../index.js'

const root = new URL('../../../../', import.meta.url).pathname

function listPages (directory: string): readonly string[] {
  return readdirSync(directory, { withFileTypes: true, recursive: true })
    .filter(entry => entry.isFile() && entry.name.endsWith('.md'))
    .map(entry => join(entry.parentPath, entry.name))
}

const docs = listPages(join(root, 'docs'))
const pages = [...docs, join(root, 'README.md'), join(root, 'CONTRIBUTING.md')]

function read (page: string): string {
  return readFileSync(page, 'utf8')
}

/** Returns links to files that do not exist; links to other sites and within a page are not checked. */
function findBrokenLinks (page: string): readonly string[] {
  const links = [...read(page).matchAll(/\]\(([^)#\s]+)[^)]*\)/g)].map(match => match[1] ?? '')
  return links.filter(link => !/^[a-z]+:/.test(link) && !existsSync(join(dirname(page), link)))
}

/** Finds the commands in code blocks and in inline code. */
function findCommands (page: string): ReadonlyArray<readonly string[]> {
  const lines = [...read(page).matchAll(/^(?:\$ )?(foxtaillever [^#\n]*)/gm)]
  const spans = [...read(page).matchAll(/`(foxtaillever [^`]*)`/g)]
  return [...lines, ...spans].map(match => (match[1] ?? '').trim().split(/\s+/).slice(1))
}

const definitions = createCli().definitions()
const paths = [['--help'], ['--version'], ...definitions.map(({ path }) => path.split(' ').slice(1))]

function isCommand (words: readonly string[]): boolean {
  return paths.some(path => path.length > 0 && path.every((word, index) => words[index] === word))
}

function findUnknownOptions (words: readonly string[]): readonly string[] {
  const known = definitions.filter(({ path }) => path.split(' ').slice(1).every((word, index) => words[index] === word)).flatMap(({ options }) => options.flatMap(({ definition }) => definition.split(/[ ,]/)))
  return words.filter(word => word.startsWith('--') && !['--help', '--version', '--'].includes(word) && !known.includes(word))
}

describe('documentation pages', () => {
  for (const page of pages) {
    describe(relative(root, page), () => {
      it('has no broken links', t => {
        t.deepEqual(findBrokenLinks(page), [])
      })

      it('names commands and options that exist', t => {
        const commands = findCommands(page)
        t.deepEqual(commands.filter(words => !isCommand(words)).map(words => words.join(' ')), [])
        t.deepEqual(commands.flatMap(findUnknownOptions), [])
      })

      it('names scripts that exist', t => {
        const { scripts } = JSON.parse(read(join(root, 'package.json'))) as { readonly scripts: Record<string, string> }
        const named = [...read(page).matchAll(/`?npm run ([\w:-]+)/g)].map(match => match[1] ?? '')
        t.deepEqual(named.filter(name => !(name in scripts)), [])
      })
    })
  }

  for (const page of docs) {
    it(`${relative(root, page)} begins with title and description`, t => {
      t.regex(read(page), /^---\ntitle: .+\ndescription: .+\n---\n/)
    })
  }

  it('list every command and every exit code', t => {
    const text = read(join(root, 'docs/operators/command-line.md'))
    const hidden = new Set(['foxtaillever completion words'])
    t.deepEqual(definitions.map(({ path }) => path).filter(path => !hidden.has(path) && !text.includes(`| \`${path}\` |`)), [])
    t.deepEqual(Object.entries(exitCodeMeanings).filter(([code, meaning]) => !text.includes(`| ${code} | ${meaning} |`)), [])
  })
})
