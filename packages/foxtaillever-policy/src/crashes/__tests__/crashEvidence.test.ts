import { describe, it } from 'foxtaillever-testing'
import { CrashEvidence, type ProvenCause } from '../crashEvidence.js'
import { ANSWER_SPANS_MS, type LostRequest } from '../suspicion.js'

const SERVERS = 6

/** An instance that answered this many requests within each span. */
const ANSWERS = ANSWER_SPANS_MS.map(span => span / 20)

function lose (request: string, sentAt: number, levels: readonly string[], account = 'acme', isTrial = false): LostRequest {
  return { request, account, levels, sentAt, isTrial }
}

/** A crash of a server that is known to have ended. */
function addCrash (evidence: CrashEvidence, server: number, at: number, lost: readonly LostRequest[], now = at): void {
  evidence.addCrash(server, at, lost, ANSWERS, now)
  evidence.confirmEnd(server)
}

/** Each crash loses one request with the level and others with levels of their own, as many as an engine runs. */
function crashInTurn (evidence: CrashEvidence, count: number, accounts: readonly string[], from = 0): ProvenCause[] {
  const proven: ProvenCause[] = []
  for (let index = from; index < from + count; index += 1) {
    const at = 1000 + index * 1000
    const others = Array.from({ length: 40 }, (_, other) => lose(`sound-${index}-${other}`, at - 50, ['first', `second-${other}`]))
    addCrash(evidence, index, at, [lose(`bad-${index}`, at - 100, ['first', 'bad'], accounts[index % accounts.length], index > 1), ...others])
    evidence.addAnswer(['first', ...others.flatMap(({ levels }) => levels)], at + 100)
    proven.push(...evidence.proveCauses(SERVERS, at + 200))
  }
  return proven
}

describe('CrashEvidence', () => {
  // Guards against a cause that is lost among the dozens of requests that each crash takes with it.
  it('finds the level among all that was in flight', t => {
    const proven = crashInTurn(CrashEvidence.create(), 4, ['acme', 'other'])
    t.deepEqual(proven.map(({ id, account }) => ({ id, account })), [{ id: 'bad', account: undefined }])
  })

  // Guards against one account whose crashing requests deny a level to others that use it soundly.
  it('blames a level for the only account whose requests crashed servers', t => {
    const evidence = CrashEvidence.create()
    const [cause] = crashInTurn(evidence, 4, ['acme'])
    t.is(cause?.account, 'acme')
    t.false(evidence.isProvenBeyond('bad', 'acme'))
    crashInTurn(evidence, 1, ['other'], 4)
    t.true(evidence.isProvenBeyond('bad', 'acme'))
  })

  // Guards against sound levels that are blamed for servers that crash together.
  it('counts servers that crash at the same moment once', t => {
    const evidence = CrashEvidence.create()
    for (let server = 0; server < SERVERS; server += 1) {
      addCrash(evidence, server, 1000 + server, [lose(`r-${server}`, 900, ['first', 'second'])], 1000)
    }
    t.deepEqual(evidence.proveCauses(SERVERS, 1100), [])
  })

  // Guards against levels that are blamed although requests with them are answered between the crashes.
  it('forgets what speaks against a level that is answered', t => {
    const evidence = CrashEvidence.create()
    for (let index = 0; index < 8; index += 1) {
      const at = 1000 + 1000 * index
      addCrash(evidence, index, at, [lose(`r-${index}`, at - 100, ['first', 'second'])])
      t.deepEqual(evidence.proveCauses(SERVERS, at + 100), [])
      evidence.addAnswer(['first', 'second'], at + 200)
    }
    t.false(evidence.isSuspected('second'))
  })

  // Guards against levels that are blamed for a moment in which connections broke and the server lived on.
  it('forgets crashes that did not happen', t => {
    const evidence = CrashEvidence.create()
    crashInTurn(evidence, 2, ['acme'])
    t.true(evidence.isSuspected('bad'))
    evidence.removeCrash(0)
    t.false(evidence.isSuspected('bad'))
  })

  // Guards against a request that its caller repeats and that crashes a server each time.
  it('finds a request without levels that crashes three servers', t => {
    const evidence = CrashEvidence.create()
    const proven = [0, 1, 2].flatMap(index => {
      addCrash(evidence, index, 1000 + 100 * index, [lose('same', 950 + 100 * index, [])], 1000)
      return evidence.proveCauses(SERVERS, 1050 + 100 * index)
    })
    t.deepEqual(proven.map(({ kind, id }) => `${kind} ${id}`), ['request same'])
  })

  // Guards against a request that is blamed because it is sent to servers that others have crashed before.
  it('does not count a request that was sent after the crash', t => {
    const evidence = CrashEvidence.create()
    for (let index = 0; index < 3; index += 1) {
      addCrash(evidence, index, 1000 + 500 * index, [lose('late', 900 + 500 * index, [])])
      // Another instance knows an earlier time of the same crash.
      addCrash(evidence, index, 700 + 500 * index, [lose(`other-${index}`, 690 + 500 * index, [])])
    }
    t.deepEqual(evidence.proveCauses(SERVERS, 2500), [])
  })

  // Guards against a sound request that is blamed because its connections are reset while the servers run on.
  it('proves nothing by servers that are not known to have ended', t => {
    const evidence = CrashEvidence.create()
    for (let index = 0; index < 3; index += 1) {
      evidence.addCrash(index, 1000 + 500 * index, [lose('same', 950 + 500 * index, [])], ANSWERS, 1000 + 500 * index)
    }
    t.deepEqual(evidence.proveCauses(SERVERS, 2500), [])
    ;[0, 1, 2].forEach(server => evidence.confirmEnd(server))
    t.is(evidence.proveCauses(SERVERS, 2500).length, 1)
  })
})
