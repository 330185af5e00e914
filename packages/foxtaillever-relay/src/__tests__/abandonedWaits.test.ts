/** Requests whose place is given up before another one is certain. */
import { LimitOutcome, LimitRole } from 'foxtaillever-policy/limits/sharedLimitLedger'
import { describe, it } from 'foxtaillever-testing'
import { RelayRig } from '../__fixtures__/relayRig.js'
import { wholeAnswer, type Arrival } from '../__fixtures__/scriptedServer.js'
import { AdmissionOutcome } from '../admission/admissionMessage.js'
import type { AdmissionProtocol, AdmissionResult } from '../admission/admissionProtocol.js'
import { noSharedLimits } from '../limits/limitProtocol.js'
import { LimitStatementKind } from '../model/limitStatement.js'
import { Repeatability } from '../model/routing.js'

/** Longer than the wait for the first byte of an answer, milliseconds. */
const SILENCE_MS = 500

/** Turns of the event loop within which a claim is made. */
const MAX_TURNS = 100_000

function answerOk (arrival: Arrival): void {
  arrival.socket.write(wholeAnswer(arrival, 'ok'))
}

describe('a repeatable request whose server is silent before its answer', () => {
  // Guards against giving up the only server that can answer the request.
  it('waits there if no other server can take it', async t => {
    const rig = await RelayRig.start({ repeatability: Repeatability.Idempotent }, () => {})
    const answer = rig.sendRequest('a')
    await rig.servers[0]?.arrived(1)
    await rig.clock.advanceBy(SILENCE_MS)
    rig.servers[0]?.arrivals.forEach(answerOk)
    const text = await answer
    rig.stop()
    t.regex(text, /^HTTP\/1.1 200 /)
  })

  // Guards against giving up the first server for one that refuses the request.
  it('waits there if the other server refuses it', async t => {
    const rig = await RelayRig.start({ repeatability: Repeatability.Idempotent }, () => {}, arrival => arrival.socket.write(wholeAnswer(arrival, '', '503 Full', 'not-run: 1')))
    const answer = rig.sendRequest('a')
    await rig.servers[0]?.arrived(1)
    await rig.clock.advanceBy(SILENCE_MS)
    await rig.servers[1]?.arrived(1)
    rig.servers[0]?.arrivals.forEach(answerOk)
    const text = await answer
    rig.stop()
    t.regex(text, /^HTTP\/1.1 200 /)
  })
})

/** Owners of queues, one result at a time for the claim that was made last. */
class ScriptedOwners {
  cancellations = 0
  steps = 0
  /** Claims, renewals not counted. */
  claims = 0
  /** Tells the instance that the claim that was made last is queued. */
  confirmQueued: () => void = () => {}
  private onResult: (result: AdmissionResult) => void = () => {}

  readonly protocol: Pick<AdmissionProtocol, 'request'> = {
    request: (_, onResult, onQueued = () => {}) => {
      this.claims += 1
      this.confirmQueued = onQueued
      this.await(onResult)
      return { renew: onRenewed => this.await(onRenewed), cancel: () => { this.cancellations += 1 } }
    }
  }

  /** Decides on a claim or renewal once it is made; there may be none within the steps that follow. */
  async decide (step: number, outcome: AdmissionOutcome): Promise<void> {
    for (let turn = 0; this.steps < step; turn += 1) {
      if (turn === MAX_TURNS) {
        return
      }
      await new Promise<void>(resolve => setImmediate(resolve))
    }
    this.onResult({ outcome, decidedBy: 'owner', retryAt: 0, backlogMs: 0 })
  }

  private await (onResult: (result: AdmissionResult) => void): void {
    this.steps += 1
    this.onResult = onResult
  }
}

async function startQueued (servers: number): Promise<{ rig: RelayRig, owners: ScriptedOwners }> {
  const rig = await RelayRig.start({ mostAttempts: 1, awaitsAdmission: true }, ...Array.from({ length: servers }, () => answerOk))
  const owners = new ScriptedOwners()
  const claim = { tokens: 1, heldTokens: 1, priority: 1, account: '', fingerprint: 1, arrivedAt: rig.clock.now(), objectiveMs: 1000, latestStartAt: Infinity, isBrittle: false }
  rig.admission = { claims: { claimFor: (_, { hash }) => ({ ...claim, server: hash }), queuePositionOf: () => undefined, mayBypass: () => true }, protocol: owners.protocol }
  return { rig, owners }
}

describe('a request in the queue of a server that takes no requests for a moment', () => {
  // Guards against leaving a queue when nothing else takes the request.
  it('stays in the queue if there is no other server', async t => {
    const { rig, owners } = await startQueued(1)
    const answer = rig.sendRequest('a')
    await owners.decide(1, AdmissionOutcome.Queued)
    const server = rig.directory.get('s0')
    if (server) {
      server.limitedUntil = rig.clock.now() + 5
    }
    await owners.decide(2, AdmissionOutcome.Queued)
    const { cancellations } = owners
    await Promise.race([owners.decide(3, AdmissionOutcome.Admitted), answer])
    const text = await answer
    rig.stop()
    t.is(cancellations, 0)
    t.regex(text, /^HTTP\/1.1 200 /)
  })

  // Guards against a request that is held at a server which cannot begin it in a moment.
  it('is refused at once if the server rests for longer', async t => {
    const { rig, owners } = await startQueued(1)
    const answer = rig.sendRequest('a')
    await owners.decide(1, AdmissionOutcome.Queued)
    const server = rig.directory.get('s0')
    if (server) {
      server.limitedUntil = rig.clock.now() + 2000
    }
    await owners.decide(2, AdmissionOutcome.Queued)
    const text = await answer
    rig.stop()
    t.is(owners.cancellations, 1)
    t.regex(text, /^HTTP\/1.1 503 [^]*"not_run"/)
  })

  // Guards against a request beyond the limit of its server, and against a place that stays taken there.
  it('is refused if the limit has no room when it is admitted', async t => {
    const { rig, owners } = await startQueued(1)
    const answer = rig.sendRequest('a')
    await owners.decide(1, AdmissionOutcome.Queued)
    const server = rig.directory.get('s0')
    const retryAt = rig.clock.now() + 5
    if (server) {
      rig.limits.applyStatement(server, { limit: { kind: LimitStatementKind.Limit, perSecond: 1 }, hasRun: true }, rig.clock.now())
    }
    rig.limitProtocol = { ...noSharedLimits, claim: (_, onResult) => onResult({ outcome: LimitOutcome.Refused, role: LimitRole.Owner, decidedBy: 'owner', retryAt }) }
    await owners.decide(2, AdmissionOutcome.Queued)
    t.is(owners.cancellations, 0)
    await owners.decide(3, AdmissionOutcome.Admitted)
    const text = await answer
    rig.stop()
    t.is(owners.cancellations, 1)
    t.is(rig.arrivals, 0)
    t.regex(text, /^HTTP\/1.1 503 [^]*"not_run"/)
  })

  // Guards against leaving a queue before another one has a place.
  it('stays in the queue if the other server has no room', async t => {
    const { rig, owners } = await startQueued(2)
    const answer = rig.sendRequest('a')
    await owners.decide(1, AdmissionOutcome.Queued)
    const server = rig.directory.get('s0')
    if (server) {
      server.limitedUntil = rig.clock.now() + 5
    }
    await owners.decide(2, AdmissionOutcome.Queued)
    const { cancellations } = owners
    await owners.decide(3, AdmissionOutcome.Rejected)
    await Promise.race([owners.decide(4, AdmissionOutcome.Admitted), answer])
    const text = await answer
    rig.stop()
    t.is(cancellations, 0)
    t.regex(text, /^HTTP\/1.1 200 /)
  })
})

describe('a request that moves from the queue of one server to that of another', () => {
  async function startMove (): Promise<{ rig: RelayRig, owners: ScriptedOwners, answer: Promise<string> }> {
    const { rig, owners } = await startQueued(2)
    const answer = rig.sendRequest('a')
    await owners.decide(1, AdmissionOutcome.Queued)
    const server = rig.directory.get('s0')
    if (server) {
      server.limitedUntil = rig.clock.now() + 5
    }
    await owners.decide(2, AdmissionOutcome.Queued)
    return { rig, owners, answer }
  }

  // Guards against a request that is counted in two queues, or admitted at two servers.
  it('leaves the first one once it is queued in the other', async t => {
    const { rig, owners, answer } = await startMove()
    t.is(owners.cancellations, 0)
    owners.confirmQueued()
    t.is(owners.cancellations, 1)
    await owners.decide(3, AdmissionOutcome.Queued)
    await owners.decide(4, AdmissionOutcome.Admitted)
    const text = await answer
    rig.stop()
    t.is(owners.cancellations, 1)
    t.regex(text, /^HTTP\/1.1 200 /)
    t.deepEqual(rig.servers.map(({ arrivals }) => arrivals.length), [0, 1])
  })

  // Guards against a claim at each renewal, each of which the other owner counts as a caller to be served first.
  it('asks for a place in the other once', async t => {
    const { rig, owners, answer } = await startMove()
    await owners.decide(3, AdmissionOutcome.Rejected)
    await owners.decide(4, AdmissionOutcome.Queued)
    await owners.decide(5, AdmissionOutcome.Rejected)
    const text = await answer
    rig.stop()
    t.deepEqual([owners.claims, owners.cancellations], [2, 0])
    t.regex(text, /^HTTP\/1.1 503 [^]*"not_run"/)
  })
})

describe('a request for whose server no path is found', () => {
  // Guards against a refusal for one server out of reach while another one is within reach.
  it('is sent to a server within reach', async t => {
    const rig = await RelayRig.start({}, answerOk, answerOk)
    const { pathTo } = rig
    rig.pathTo = (server, need) => server.listed.id === 's0' ? undefined : pathTo(server, need)
    const text = await rig.sendRequest('a')
    rig.stop()
    t.regex(text, /^HTTP\/1.1 200 /)
  })

  // Guards against a place that stays taken at a server which does not get the request.
  it('returns its admission', async t => {
    const { rig, owners } = await startQueued(1)
    rig.pathTo = () => undefined
    const answer = rig.sendRequest('a')
    await owners.decide(1, AdmissionOutcome.Admitted)
    const text = await answer
    rig.stop()
    t.regex(text, /^HTTP\/1.1 503 /)
    t.is(owners.cancellations, 1)
  })

  // Guards against a place that stays taken if this instance itself owns the queue, and decides within the call.
  it('returns an admission that was granted at once', async t => {
    const { rig, owners } = await startQueued(1)
    rig.pathTo = () => undefined
    const request: AdmissionProtocol['request'] = (claim, onResult) => {
      const pending = owners.protocol.request(claim, onResult)
      onResult({ outcome: AdmissionOutcome.Admitted, decidedBy: 'owner', retryAt: 0, backlogMs: 0 })
      return pending
    }
    rig.admission = { ...rig.admission, protocol: { request } }
    const text = await rig.sendRequest('a')
    rig.stop()
    t.regex(text, /^HTTP\/1.1 503 /)
    t.is(owners.cancellations, 1)
  })
})
