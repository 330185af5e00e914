import { describe, it } from 'foxtaillever-testing'
import { RequestLines } from '../requestLines.js'

describe('log lines of requests', () => {
  it('are kept by request, with the fields that tell a cause', t => {
    const lines = RequestLines.create()
    lines.add('{"time":"2026-01-01T10:00:00.000Z","msg":"requests: A try failed.","request":"q1","kind":"silent","verdict":"ran"}')
    lines.add('{"time":"2026-01-01T10:00:00.000Z","msg":"process: Started."}')
    t.deepEqual(lines.of('q1'), ['10:00:00.000Z requests: A try failed. kind=silent'])
    t.deepEqual(lines.of('q2'), [])
  })

  // Guards against a soak that ends because a killed process wrote a part of a line.
  it('may be incomplete', t => {
    const lines = RequestLines.create()
    lines.add('{"time":"2026-01-01T10:00:00.000Z","request":"q1","ms')
    t.deepEqual(lines.of('q1'), [])
  })
})
