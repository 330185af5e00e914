import { describe, it } from 'foxtaillever-testing'
import { HEADER_BYTES } from '../__fixtures__/admissionFleet.js'
import { assertDecidedBy, occupy, outcomesOf, startScene } from '../__fixtures__/admissionScene.js'
import { capacity } from '../__fixtures__/simulatedServer.js'
import { AdmissionOutcome, encodeAdmissionMessage } from '../admissionMessage.js'

const { Admitted, Queued, Rejected } = AdmissionOutcome

describe('admission over a fleet', () => {
  // At a server with room, waiting for anything but one round trip would make the request late for nothing.
  it('admits at once where there is room, and locally at the owner', async t => {
    const { fleet, server, owner, requester } = await startScene()
    const local = fleet.request(owner, server, { tokens: 826 })
    assertDecidedBy(t, local, owner)
    const remote = fleet.request(requester, server, { tokens: 826 })
    await fleet.pass(5)
    assertDecidedBy(t, remote, owner)
    fleet.stopAll()
  })

  // Reports arrive up to 30 ms after an admission; without counting it until then, all requests of a burst would be admitted at once.
  it('counts admissions that no report contains yet', async t => {
    const scene = await startScene()
    const burst = Array.from({ length: 12 }, (_, index) => scene.fleet.request(scene.fleet.requesterFor(scene.server, index % 4), scene.server))
    await scene.fleet.pass(10)
    t.is(burst.filter(({ result }) => result?.outcome === Admitted).length, 1)
    scene.fleet.stopAll()
  })

  // While requests wait, the server must not become idle between two prompts.
  it('keeps the server reading while requests are queued', async t => {
    const { fleet, server, requester } = await startScene()
    const requests = Array.from({ length: 6 }, () => fleet.request(requester, server, { startInMs: 4000 }))
    await fleet.pass(6 * 9190 / capacity.tokensPerMs + 40)
    t.deepEqual(requests.map(({ isUnread }) => isUnread), requests.map(() => false))
    fleet.stopAll()
  })

  // An urgent request that counts the prompts of less urgent ones would avoid a server that serves it first.
  it('adds what is queued before a priority to the load that a query returns', async t => {
    const scene = await startScene()
    await occupy(scene)
    const { fleet, server, requester } = scene
    fleet.request(requester, server, { priority: 5 })
    await fleet.pass(5)
    const tokensAt = async (priority?: number): Promise<number> => {
      const answered = requester.load.query({ servers: [server.hash], position: priority === undefined ? undefined : { priority, account: 'acme' } })
      await fleet.pass(5)
      await answered
      return requester.fleetLoad.of(server.hash).tokens
    }
    const [unread, urgent, equal, less] = [await tokensAt(), await tokensAt(2), await tokensAt(3), await tokensAt(5)] as [number, number, number, number]
    t.true(Math.abs(urgent - unread) < 2000, `${unread} ${urgent}`)
    t.true(equal - urgent > 9190, `${urgent} ${equal}`)
    t.true(less - equal > 9190 / 2, `${equal} ${less}`)
    fleet.stopAll()
  })

  // Requests wait for seconds at times; control traffic must not grow with the wait.
  it('sends two datagrams for a request that is admitted at once, and two more for each renewal', async t => {
    const scene = await startScene()
    const { fleet, requester, server } = scene
    let messages = 0
    let bytes = 0
    await occupy(scene)
    fleet.onSend = (from, to, message) => {
      if (from === requester || to === requester.address) {
        messages += 1
        bytes += encodeAdmissionMessage(message).length + HEADER_BYTES
      }
    }
    const request = fleet.request(requester, server)
    await fleet.pass(900)
    t.is(request.result?.outcome, Admitted)
    t.is(messages, 3 + 2 * outcomesOf(request).filter(outcome => outcome === Queued).length)
    t.log(`${messages} datagrams, ${bytes} bytes for a wait of ${Math.round(request.decidedAt - request.arrivedAt)} ms`)
    fleet.stopAll()
  })

  // Callers that give up must not leave entries that delay others, and an admission on its way must not occupy room.
  it('forgets a request that is cancelled, and takes back an admission that arrives too late', async t => {
    const scene = await startScene()
    const { fleet, server, owner, requester } = scene
    const request = fleet.request(requester, server)
    request.pending?.cancel()
    await fleet.pass(10)
    t.deepEqual(request.results, [])
    const next = fleet.request(requester, server)
    await fleet.pass(5)
    assertDecidedBy(t, next, owner)
    await occupy(scene)
    const queued = fleet.request(requester, server)
    await fleet.pass(5)
    const before = owner.admission.queueSize
    queued.pending?.cancel()
    await fleet.pass(5)
    t.is(owner.admission.queueSize, before - 1)
    fleet.stopAll()
  })

  // A request whose turn comes too late must not wait until its deadline to learn this.
  it('rejects at once what cannot start in time, with a time at which there is room', async t => {
    const scene = await startScene()
    await occupy(scene, 5)
    const request = scene.fleet.request(scene.requester, scene.server, { startInMs: 400 })
    await scene.fleet.pass(5)
    t.is(request.result?.outcome, Rejected)
    const retryMs = (request.result?.retryAt ?? 0) - request.decidedAt
    t.true(retryMs > 400 && retryMs < 6 * 9190 / capacity.tokensPerMs, `${retryMs} ms`)
    scene.fleet.stopAll()
  })
})
