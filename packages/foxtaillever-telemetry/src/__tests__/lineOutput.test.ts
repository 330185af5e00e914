import { describe, it, VirtualClock } from 'foxtaillever-testing'
import { LineOutput } from '../lineOutput.js'
import { Logs, Part } from '../logs.js'
import { Metrics } from '../metrics.js'

const INFO = 30
const WARN = 40

function createBench () {
  const clock = VirtualClock.create()
  const written: string[] = []
  const open: Array<(taken?: number) => void> = []
  const output = LineOutput.create(clock, (bytes, done) => {
    written.push(bytes.toString())
    open.push((taken = bytes.length) => done(taken))
  })
  const write = (level: number, line: string): void => {
    output.lastLevel = level
    output.write(line)
  }
  return { clock, output, write, written, open }
}

describe('lines to standard output', () => {
  it('are batched and written by one call at a time', async t => {
    const { clock, write, written, open } = createBench()
    write(INFO, 'a\n')
    write(INFO, 'b\n')
    await clock.advanceBy(100)
    write(INFO, 'c\n')
    await clock.advanceBy(1000)
    t.deepEqual(written, ['a\nb\n'])
    open.shift()?.(1)
    await clock.advanceBy(1000)
    t.deepEqual(written, ['a\nb\n', '\nb\nc\n'])
  })

  // The reader of the logs is paused while every request fails. The process neither waits nor
  // grows; lines about failures are still there when the reader resumes.
  it('are dropped and counted while the reader is paused, failures last', async t => {
    const { clock, output, write, written, open } = createBench()
    const line = `${'x'.repeat(999)}\n`
    for (let index = 0; index < 700; index += 1) {
      write(INFO, line)
    }
    write(WARN, 'a failure\n')
    await clock.advanceBy(100)
    t.is(output.takeDroppedCount(), 200)
    t.true(written[0]?.endsWith('a failure\n'))
    open.shift()?.(0)
    for (let index = 0; index < 2000; index += 1) {
      write(WARN, line)
    }
    t.is(output.takeDroppedCount(), 1501)
  })
})

describe('logs of failed requests', () => {
  // Under overload, ten lines per sentence would hide which requests failed.
  it('are not limited by sentence, but in total', async t => {
    const lines: Array<{ request?: string, leftOut?: number }> = []
    const clock = VirtualClock.create()
    const logs = Logs.create({ instance: 'i', level: 'info', clock, destination: { write: text => { lines.push(JSON.parse(text) as object) } } })
    for (let index = 0; index < 5000; index += 1) {
      logs.writeFailure(Part.Requests, 'Ended: failed.', { request: `r${index}` })
    }
    t.is(lines.length, 210)
    t.is(lines[199]?.request, 'r199')
    await clock.advanceBy(1000)
    t.is(lines.at(-1)?.leftOut, 4790)
    logs.writeFailure(Part.Requests, 'Ended: failed.', { request: 'later' })
    t.is(lines.at(-1)?.request, 'later')
  })
})

describe('metrics', () => {
  it('are rendered as text, and labels cannot fill the memory', t => {
    const metrics = Metrics.create('x_')
    metrics.gauge('open', () => 3)
    for (let index = 0; index < 1000; index += 1) {
      metrics.count('ends', { code: `c${index}` })
    }
    metrics.observe('ms', { end: 'answered' }, 30)
    metrics.observe('ms', { end: 'answered' }, 99_999)
    const text = metrics.render()
    t.true(text.includes('x_open 3\n'))
    t.true(text.includes('x_ends{code="c0"} 1\n'))
    t.true(text.includes('x_ends{series="others"} 936\n'))
    t.true(text.includes('x_ms_bucket{end="answered",le="20"} 0\nx_ms_bucket{end="answered",le="50"} 1\n'))
    t.true(text.includes('x_ms_bucket{end="answered",le="+Inf"} 2\nx_ms_sum{end="answered"} 100029\nx_ms_count{end="answered"} 2\n'))
  })
})
