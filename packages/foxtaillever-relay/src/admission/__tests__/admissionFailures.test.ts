import { describe, it } from 'foxtaillever-testing'
import { DatagramKind } from '../../peers/datagram.js'
import { AdmissionFleet, type FleetNode, type FleetRequest, type FleetServer } from '../__fixtures__/admissionFleet.js'
import { assertDecidedBy, assertNextDecidedBy, occupy, outcomesOf, startScene } from '../__fixtures__/admissionScene.js'
import { AdmissionOutcome } from '../admissionMessage.js'

const { Admitted, NotOwner } = AdmissionOutcome

describe('admission when an instance fails', () => {
  // The table of failures on the design page, a case each.
  it('asks the standby when the owner died, and skips the owner after two requests', async t => {
    const { fleet, server, owner, standby, requester } = await startScene()
    fleet.kill(owner)
    const waits: number[] = []
    for (let index = 0; index < 3; index++) {
      const request = fleet.request(requester, server, { tokens: 826, heldTokens: 826 })
      await fleet.pass(100)
      assertDecidedBy(t, request, standby)
      waits.push(request.decidedAt - request.arrivedAt)
    }
    t.true((waits[0] ?? 0) >= 15 && (waits[0] ?? 0) < 21 && (waits[2] ?? 0) < 6, waits.join(' '))
    fleet.stopAll()
  })

  it('moves a queued request to the standby at its next renewal when the owner died', async t => {
    const scene = await startScene()
    const { fleet, owner, standby, requester, server } = scene
    await occupy(scene)
    const request = fleet.request(requester, server)
    await fleet.pass(5)
    fleet.kill(owner)
    await fleet.pass(1000)
    assertDecidedBy(t, request, standby)
    fleet.stopAll()
  })

  it('sends without a decision when neither watcher answers', async t => {
    const { fleet, server, owner, standby, requester } = await startScene()
    fleet.kill(owner)
    fleet.kill(standby)
    const request = fleet.request(requester, server)
    await fleet.pass(40)
    t.is(request.result?.outcome, NotOwner)
    t.is(request.sent, 1)
    t.true(request.decidedAt - request.arrivedAt <= 31)
    fleet.stopAll()
  })

  // A suspended owner answers from the state of before, when the standby has long decided.
  it('uses one admission when the owner freezes and wakes with its old state', async t => {
    const { fleet, server, owner, standby, requester } = await startScene()
    owner.isFrozen = true
    const request = fleet.request(requester, server)
    await fleet.pass(60)
    assertDecidedBy(t, request, standby)
    const cancels: string[] = []
    fleet.onReceive = (to, message) => { message.kind === DatagramKind.AdmissionCancel && cancels.push(to.address) }
    fleet.thaw(owner)
    await fleet.pass(10)
    t.is(request.sent, 1)
    t.true(cancels.length > 0 && cancels.every(address => address === owner.address))
    fleet.stopAll()
  })

  // Datagrams are lost: an admission whose cancellation did not arrive would occupy room that nobody uses.
  it('returns an admission that it does not use when it arrives late', async t => {
    const { fleet, server, owner, requester } = await startScene()
    owner.isFrozen = true
    fleet.isLost = (_, __, message) => message.kind === DatagramKind.AdmissionCancel
    fleet.request(requester, server)
    await fleet.pass(60)
    fleet.isLost = () => false
    const returned: string[] = []
    fleet.onReceive = (to, message) => { message.kind === DatagramKind.AdmissionCancel && returned.push(to.address) }
    fleet.thaw(owner)
    await fleet.pass(10)
    t.deepEqual(returned, [owner.address])
    fleet.stopAll()
  })

  // After a suspension of seconds its reports are gone, and the server would look idle to it.
  it('gets no decision from an owner that was suspended for seconds until all reports are repeated', async t => {
    const scene = await startScene()
    const { fleet, server, owner, standby, requester } = scene
    owner.isFrozen = true
    await fleet.pass(4000)
    fleet.thaw(owner)
    const request = fleet.request(requester, server)
    await fleet.pass(30)
    assertDecidedBy(t, request, standby)
    await fleet.pass(1100)
    await assertNextDecidedBy(t, scene, owner, 30)
    fleet.stopAll()
  })

  it('asks the standby while the owner is cut off, and the owner again within 3 s', async t => {
    const scene = await startScene()
    const { fleet, server, owner, standby, requester } = scene
    owner.side = 1
    const request = fleet.request(requester, server)
    await fleet.pass(500)
    assertDecidedBy(t, request, standby)
    await fleet.pass(500)
    owner.side = 0
    await fleet.pass(3000)
    await assertNextDecidedBy(t, scene, owner, 30)
    fleet.stopAll()
  })

  it('gets no decision from an owner that started without state until all reports are repeated', async t => {
    const scene = await startScene()
    const { fleet, server, owner, standby, requester } = scene
    await occupy(scene)
    fleet.kill(owner)
    fleet.boot(owner)
    const request = fleet.request(requester, server)
    await fleet.pass(10)
    t.not(request.result?.decidedBy, owner.address)
    // Reports are complete 1,025 ms after the start.
    await fleet.pass(1050)
    assertDecidedBy(t, request, standby)
    await assertNextDecidedBy(t, scene, owner, 600)
    fleet.stopAll()
  })

  // Instances learn of a new member one after the other; until then two instances decide on its servers.
  it('with two owners for a while exceeds the read-ahead by no more than one prompt for each', async t => {
    const scene = await startScene()
    const { fleet, server, owner, standby } = scene
    const without = fleet.nodes.filter(node => node !== owner).map(({ address }) => address)
    const requesters = fleet.nodes.filter(node => node !== owner && node !== standby)
    const late = requesters.slice(0, 2);
    [...late, standby].forEach(node => node.watchers.setMembers(without))
    let unread = 0
    fleet.onArrival = () => { unread = Math.max(unread, [...server.running].filter(request => request.isUnread).length) }
    const requests: FleetRequest[] = []
    for (let index = 0; index < 30; index++) {
      requests.push(fleet.request(requesters[index % requesters.length] as FleetNode, server))
      await fleet.pass(60)
    }
    t.true(new Set(requests.map(({ result }) => result?.decidedBy)).size >= 2)
    t.true(unread <= 2 * 2, `${unread} unread prompts`)
    fleet.stopAll()
  })

  it('drops the entries of a requester that died after 600 ms', async t => {
    const scene = await startScene()
    const { fleet, server, owner, requester } = scene
    server.stopReading()
    await occupy(scene, 4)
    // By then the largest progress that is assumed is reached, and nothing more is admitted.
    await fleet.pass(500)
    const before = owner.admission.queueSize
    fleet.request(requester, server)
    await fleet.pass(5)
    t.is(owner.admission.queueSize, before + 1)
    fleet.kill(requester)
    await fleet.pass(650)
    t.is(owner.admission.queueSize, before)
    fleet.stopAll()
  })

  // Without a memory of its decisions, the owner would queue the request again, behind others.
  it('repeats a decision whose response was lost', async t => {
    const scene = await startScene()
    const { fleet, server, owner, requester } = scene
    await occupy(scene)
    const lost: number[] = []
    fleet.isLost = (_, to, message) => {
      const isLost = lost.length === 0 && to === requester.address && message.kind === DatagramKind.AdmissionResponse && message.outcome === Admitted
      lost.push(...isLost ? [fleet.clock.now()] : [])
      return isLost
    }
    const request = fleet.request(requester, server)
    while (lost.length === 0) {
      await fleet.pass(10)
    }
    // Queued again, it would wait behind these.
    for (let index = 0; index < 6; index += 1) {
      fleet.request(fleet.requesterFor(server, 2), server, { priority: 0 })
    }
    await fleet.pass(2000)
    assertDecidedBy(t, request, owner)
    const waitedMs = request.decidedAt - (lost[0] ?? 0)
    t.true(waitedMs < 260, `${waitedMs} ms after the lost response`)
    fleet.stopAll()
  })

  // A duplicated or late datagram must not send a request twice, nor return an admission in use.
  it('ignores duplicates', async t => {
    const scene = await startScene()
    const { fleet, server, owner, requester } = scene
    fleet.faults.doubled = 1
    let cancels = 0
    fleet.onSend = (_, __, message) => { cancels += Number(message.kind === DatagramKind.AdmissionCancel) }
    const requests = Array.from({ length: 3 }, () => fleet.request(requester, server))
    await fleet.pass(1500)
    requests.forEach(request => assertDecidedBy(t, request, owner))
    t.is(cancels, 0)
    fleet.stopAll()
  })

  // Guards against a request that gets no result because its instance was late for longer than a claim lasts.
  it('decides on a request that is renewed too late', async t => {
    const scene = await startScene()
    const { fleet, server, owner, requester } = scene
    await occupy(scene, 30)
    let renew = (): void => {}
    fleet.onQueue = request => {
      renew = () => request.pending?.renew(result => fleet.handleResult(request, result))
    }
    const request = fleet.request(requester, server, { startInMs: 30_000 })
    await fleet.pass(1000)
    t.deepEqual(outcomesOf(request), [AdmissionOutcome.Queued])
    renew()
    fleet.onQueue = ({ pending }) => pending?.renew(result => fleet.handleResult(request, result))
    await fleet.pass(5000)
    assertDecidedBy(t, request, owner)
    fleet.stopAll()
  })

  // Guards against a request that goes to its server on an admission which its instance, late itself, has returned.
  it('uses no admission that arrives after the request was withdrawn and renewed', async t => {
    const scene = await startScene()
    const { fleet, server, owner, requester } = scene
    await occupy(scene, 30)
    let renew = (): void => {}
    fleet.onQueue = request => {
      renew = () => request.pending?.renew(result => fleet.handleResult(request, result))
    }
    const numbers: number[] = []
    fleet.onSend = (from, _, message) => { from === requester && message.kind === DatagramKind.AdmissionRequest && numbers.push(message.number) }
    const request = fleet.request(requester, server, { startInMs: 30_000 })
    await fleet.pass(1000)
    renew()
    requester.admission.receive({ kind: DatagramKind.AdmissionResponse, address: owner.address, number: numbers[0] ?? 0, server: server.hash, outcome: AdmissionOutcome.Admitted, retryMs: 0, backlogMs: 0 })
    t.is(request.sent, 0)
    fleet.onQueue = ({ pending }) => pending?.renew(result => fleet.handleResult(request, result))
    await fleet.pass(5000)
    assertDecidedBy(t, request, owner)
    t.is(owner.admission.queueSize, 0)
    fleet.stopAll()
  })

  it('lets a queued request leave a server that fails at its next renewal', async t => {
    const fleet = await AdmissionFleet.start(6, { servers: 2 })
    const [server, other] = fleet.servers as [FleetServer, FleetServer]
    const [owner] = fleet.watchersOf(server) as [FleetNode]
    await occupy({ fleet, server, owner, standby: owner, requester: owner })
    fleet.onQueue = request => {
      if (request.server.isReady) {
        request.pending?.renew(result => fleet.handleResult(request, result))
      } else {
        request.pending?.cancel()
        request.server = other
        fleet.ask(request)
      }
    }
    const request = fleet.request(fleet.requesterFor(server), server)
    await fleet.pass(5)
    server.isReady = false
    await fleet.pass(260)
    t.is(owner.admission.queueSize, 0)
    t.is(request.server, other)
    await fleet.pass(800)
    t.is(request.result?.outcome, Admitted)
    fleet.stopAll()
  })
})
