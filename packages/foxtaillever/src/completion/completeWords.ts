/** Completes the last word of a command line from the definitions of the commands. */
import type { Definition } from 'clipanion'

function pathOf ({ path }: Definition): readonly string[] {
  return path.split(' ').slice(1)
}

function startsWith (path: readonly string[], words: readonly string[]): boolean {
  return words.every((word, index) => path[index] === word)
}

function optionsOf ({ options }: Definition): readonly string[] {
  return options.flatMap(({ definition }) => definition.split(/[ ,]/).filter(word => word.startsWith('--')))
}

/** @param words the words after the program's name; the last one is still being typed. */
export function completeWords (definitions: readonly Definition[], words: readonly string[]): readonly string[] {
  const typed = words.slice(0, -1)
  const prefix = words.at(-1) ?? ''
  const next = definitions.map(pathOf).filter(path => path.length > typed.length && startsWith(path, typed)).flatMap(path => path[typed.length] ?? [])
  const options = definitions.filter(definition => startsWith(typed, pathOf(definition))).flatMap(optionsOf)
  const candidates = prefix.startsWith('-') ? options : next
  return [...new Set(candidates)].filter(word => word.startsWith(prefix)).sort()
}
