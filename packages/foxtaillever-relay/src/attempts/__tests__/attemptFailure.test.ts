import { describe, it } from 'foxtaillever-testing'
import { AttemptFailureKind, mayBeCrash } from '../attemptFailure.js'

describe('mayBeCrash', () => {
  // Guards against sound requests that count as lost in a crash because a proxy accepts connections for a server that is down.
  it('says no if the connection broke before the server can have run the request', t => {
    const lost = { kind: AttemptFailureKind.Lost, detail: '' }
    t.false(mayBeCrash({ ...lost, sentForMs: 1 }))
    t.true(mayBeCrash({ ...lost, sentForMs: 20 }))
    t.true(mayBeCrash(lost))
  })

  // Guards against servers that are silent for a moment, or links that are, which count as crashes.
  it('says no if the server is silent', t => {
    t.false(mayBeCrash({ kind: AttemptFailureKind.Silent, detail: '', sentForMs: 2000 }))
  })
})
