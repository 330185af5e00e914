import { describe, it, VirtualClock } from 'foxtaillever-testing'
import { Logs, Part } from '../logs.js'

interface Line {
  readonly msg: string
  readonly leftOut?: number
  readonly request?: string
}

function createBench (level: string) {
  const lines: Line[] = []
  const clock = VirtualClock.create()
  const logs = Logs.create({ instance: 'entry-1', level, clock, destination: { write: text => { lines.push(JSON.parse(text) as Line) } } })
  return { lines, clock, logs }
}

describe('logs', () => {
  it('start with the part and name the request and the account', t => {
    const { lines, logs } = createBench('info')
    logs.write('warn', Part.Requests, 'A request failed.', { request: 'r1', account: 'vale' })
    t.like(lines[0], { msg: 'requests: A request failed.', request: 'r1', account: 'vale', instance: 'entry-1' })
  })

  it('omit lines below their level', t => {
    const { lines, logs } = createBench('warn')
    logs.write('info', Part.Requests, 'A request is refused.')
    t.is(lines.length, 0)
  })

  // A backend server crashes under full load and thousands of requests fail within
  // a second. A line for each would bury the first cause and cost time that the
  // remaining requests need; the operator must still see the count.
  it('are counted instead of written when one sentence is too frequent', async t => {
    const { lines, clock, logs } = createBench('info')
    for (let index = 0; index < 5000; index++) {
      logs.write('warn', Part.Requests, 'A request failed.', { request: `r${index}` })
    }
    logs.write('warn', Part.Servers, 'An attempt failed and is retried.')
    t.is(lines.length, 11)
    t.is(logs.leftOut(), 4990)
    await clock.advanceBy(1000)
    t.like(lines.at(-1), { msg: 'requests: A request failed. (further lines left out)', leftOut: 4990 })
    logs.write('warn', Part.Requests, 'A request failed.', { request: 'later' })
    t.is(lines.at(-1)?.request, 'later')
  })
})
