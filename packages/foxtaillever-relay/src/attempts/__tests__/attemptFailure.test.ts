import { describe, it } from 'foxtaillever-testing'
import { AttemptFailureKind, mayBeCrash } from '../attemptFailure.js'

describe('mayBeCrash', () => {
  // Guards against requests that crash servers as soon as these have read their head, and are never held back.
  it('says yes if the connection broke, however soon', t => {
    const lost = { kind: AttemptFailureKind.Lost, detail: '' }
    ;[0, 1, 3, 20].forEach(sentForMs => t.true(mayBeCrash({ ...lost, sentForMs })))
    t.true(mayBeCrash(lost))
  })

  // Guards against servers that are silent for a moment, or links that are, which count as crashes.
  it('says no if the server is silent', t => {
    t.false(mayBeCrash({ kind: AttemptFailureKind.Silent, detail: '', sentForMs: 2000 }))
  })
})
