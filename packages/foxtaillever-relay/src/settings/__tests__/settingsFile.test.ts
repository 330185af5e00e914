/**
 * The platform rewrites the settings of a running process, with a signal or
 * without one, and the file may be read while it is half written. A process that
 * exits at the signal drops all its requests; one that accepts incomplete text
 * as settings loses its limits.
 */
import { Left, Right } from 'purify-ts'
import { describe, it, VirtualClock } from 'foxtaillever-testing'
import { SettingsFile } from '../settingsFile.js'

function createFile (): { clock: VirtualClock, write: (text: string | Error) => void, file: SettingsFile<number>, seen: Array<number | string> } {
  const clock = VirtualClock.create()
  const seen: Array<number | string> = []
  let content: string | Error = '1'
  const file = SettingsFile.create<number>({
    clock,
    readText: () => {
      if (content instanceof Error) {
        throw content
      }
      return content
    },
    parse: text => Number.isNaN(Number(text)) ? Left(`not a number: ${text}`) : Right(Number(text)),
    onChanged: settings => seen.push(settings),
    onRejected: reason => seen.push(reason)
  })
  return { clock, write: text => { content = text }, file, seen }
}

describe('SettingsFile', () => {
  it('applies each change once, with a signal and without one', async t => {
    const { clock, write, file, seen } = createFile()
    t.is(file.readFirst().extract(), 1)
    file.startPolling()
    write('2')
    file.reload()
    file.reload()
    write('3')
    await clock.advanceBy(5000)
    t.deepEqual(seen, [2, 3])
  })

  it('keeps the last valid settings while the file cannot be read, and reports each reason once', async t => {
    const { clock, write, file, seen } = createFile()
    file.readFirst()
    file.startPolling()
    write('half a fi')
    await clock.advanceBy(9000)
    write(new Error('no such file'))
    await clock.advanceBy(9000)
    write('4')
    await clock.advanceBy(3000)
    t.deepEqual(seen, ['not a number: half a fi', 'no such file', 4])
  })
})
