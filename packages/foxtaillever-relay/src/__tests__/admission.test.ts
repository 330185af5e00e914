/** What a caller gets while the owner of a server's queue lets its request wait, admits it, or rejects it. */
import { describe, it } from 'foxtaillever-testing'
import { RelayRig } from '../__fixtures__/relayRig.js'
import { wholeAnswer, type Answer } from '../__fixtures__/scriptedServer.js'
import { AdmissionOutcome } from '../admission/admissionMessage.js'
import type { AdmissionClaim, AdmissionProtocol, AdmissionResult } from '../admission/admissionProtocol.js'
import type { KnownServer } from '../servers/knownServer.js'

const answerOk: Answer = arrival => { arrival.socket.write(wholeAnswer(arrival, 'ok', '200 OK')) }

type OnResult = (result: AdmissionResult) => void

/** An owner that answers when the test says so. */
class ScriptedOwner {
  readonly asked: number[] = []
  renewals = 0
  cancellations = 0
  private onResult: OnResult = () => {}

  readonly protocol: Pick<AdmissionProtocol, 'request'> = {
    request: ({ server }, onResult) => {
      this.asked.push(server)
      this.onResult = onResult
      return {
        renew: onRenewed => {
          this.renewals += 1
          this.onResult = onRenewed
        },
        cancel: () => { this.cancellations += 1 }
      }
    }
  }

  decide (outcome: AdmissionOutcome, retryAt = 0): void {
    this.onResult({ outcome, decidedBy: 'owner', retryAt, backlogMs: 0 })
  }

  async untilAsked (count: number): Promise<void> {
    while (this.asked.length + this.renewals < count) {
      await new Promise<void>(resolve => setImmediate(resolve))
    }
  }
}

function claimFor (server: Pick<KnownServer, 'hash'>): AdmissionClaim {
  return { server: server.hash, tokens: 1, heldTokens: 1, priority: 1, account: '', fingerprint: 1, arrivedAt: Date.now(), objectiveMs: 1000, latestStartAt: Infinity, isBrittle: false }
}

async function start (...answers: Answer[]): Promise<{ rig: RelayRig, owner: ScriptedOwner }> {
  const rig = await RelayRig.start({ mostAttempts: 1, awaitsAdmission: true }, ...answers)
  const owner = new ScriptedOwner()
  rig.admission = { claims: { claimFor: (_, server) => claimFor(server), queuePositionOf: () => undefined, mayBypass: () => true }, protocol: owner.protocol }
  return { rig, owner }
}

describe('a request that awaits admission', () => {
  // Guards against a choice of the server at each renewal, which doubled the processor time of a request.
  it('is sent when it is admitted, and chooses its server again at every second renewal', async t => {
    const { rig, owner } = await start(answerOk)
    const answer = rig.sendRequest('one')
    await owner.untilAsked(1)
    t.is(rig.arrivals, 0)
    owner.decide(AdmissionOutcome.Queued)
    await owner.untilAsked(2)
    owner.decide(AdmissionOutcome.Queued)
    await owner.untilAsked(3)
    t.deepEqual([owner.renewals, owner.asked.length, rig.choices], [2, 1, 2])
    owner.decide(AdmissionOutcome.Admitted)
    t.true((await answer).endsWith('ok'))
    rig.stop()
  })

  // Guards against a rejection without a time to retry, or one that is sent to the server after all.
  it('is rejected as not run, with the time at which there will be room', async t => {
    const { rig, owner } = await start(answerOk)
    const answer = rig.sendRequest('one')
    await owner.untilAsked(1)
    owner.decide(AdmissionOutcome.Rejected, rig.clock.now() + 1500)
    t.regex(await answer, /^HTTP\/1.1 503 [^]*Retry-After: 1\.50/)
    t.is(rig.arrivals, 0)
    rig.stop()
  })

  it('is sent as without admission if no instance decides', async t => {
    const { rig, owner } = await start(answerOk)
    const answer = rig.sendRequest('one')
    await owner.untilAsked(1)
    owner.decide(AdmissionOutcome.NotOwner)
    t.true((await answer).endsWith('ok'))
    rig.stop()
  })

  // Guards against a request that stays in the queue of a server that leaves.
  it('moves to the queue of another server when its server leaves', async t => {
    const { rig, owner } = await start(answerOk, answerOk)
    const answer = rig.sendRequest('one')
    await owner.untilAsked(1)
    rig.directory.markLeaving('s0', rig.clock.now())
    owner.decide(AdmissionOutcome.Queued)
    await owner.untilAsked(2)
    t.is(owner.cancellations, 1)
    t.deepEqual(owner.asked, ['s0', 's1'].map(id => rig.directory.get(id)?.hash))
    owner.decide(AdmissionOutcome.Admitted)
    t.true((await answer).endsWith('ok'))
    t.deepEqual(rig.servers.map(({ arrivals }) => arrivals.length), [0, 1])
    rig.stop()
  })

  // Guards against room that is kept for a caller who has left.
  it('leaves the queue when its caller leaves', async t => {
    const { rig, owner } = await start(answerOk)
    const socket = rig.connect()
    socket.write('POST /p HTTP/1.1\r\nhost: h\r\nrequest-id: one\r\ncontent-length: 0\r\n\r\n')
    await owner.untilAsked(1)
    socket.destroy()
    while (owner.cancellations === 0) {
      await new Promise<void>(resolve => setImmediate(resolve))
    }
    t.is(rig.arrivals, 0)
    rig.stop()
  })
})
