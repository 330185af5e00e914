import { describe, it } from 'foxtaillever-testing'
import type { ExecutionContext } from 'ava'
import { DatagramKind } from '../../peers/datagram.js'
import { AdmissionFleet, capacity, HEADER_BYTES, type FleetNode, type FleetRequest, type FleetServer } from '../__fixtures__/admissionFleet.js'
import { AdmissionOutcome, encodeAdmissionMessage } from '../admissionMessage.js'

const { Admitted, Queued, Rejected, NotOwner } = AdmissionOutcome

interface Scene {
  readonly fleet: AdmissionFleet
  readonly server: FleetServer
  readonly owner: FleetNode
  readonly standby: FleetNode
  readonly requester: FleetNode
}

async function start (size = 6): Promise<Scene> {
  const fleet = await AdmissionFleet.start(size)
  const [server] = fleet.servers as [FleetServer]
  const [owner, standby] = fleet.watchersOf(server) as [FleetNode, FleetNode]
  return { fleet, server, owner, standby, requester: fleet.requesterFor(server) }
}

/** Occupies the server's read-ahead, so that a further request is queued. */
async function occupy ({ fleet, server }: Scene, prompts = 3): Promise<FleetRequest[]> {
  const others = fleet.requesterFor(server, 1)
  const requests = Array.from({ length: prompts }, () => fleet.request(others, server))
  await fleet.pass(30)
  return requests
}

function outcomesOf ({ results }: FleetRequest): AdmissionOutcome[] {
  return results.map(({ outcome }) => outcome)
}

function assertDecidedBy (t: ExecutionContext, { result, sent }: FleetRequest, node: FleetNode): void {
  t.is(result?.outcome, Admitted)
  t.is(result?.decidedBy, node.address)
  t.is(sent, 1)
}

describe('admission over a fleet', () => {
  // At a server with room, waiting for anything but one round trip would make the request late for nothing.
  it('admits at once where there is room, and locally at the owner', async t => {
    const { fleet, server, owner, requester } = await start()
    const local = fleet.request(owner, server, { tokens: 826 })
    assertDecidedBy(t, local, owner)
    const remote = fleet.request(requester, server, { tokens: 826 })
    await fleet.pass(5)
    assertDecidedBy(t, remote, owner)
    fleet.stopAll()
  })

  // Reports arrive up to 30 ms after an admission; without counting it until then, all requests of a burst would be admitted at once.
  it('counts admissions that no report contains yet', async t => {
    const scene = await start()
    const burst = Array.from({ length: 12 }, (_, index) => scene.fleet.request(scene.fleet.requesterFor(scene.server, index % 4), scene.server))
    await scene.fleet.pass(10)
    t.is(burst.filter(({ result }) => result?.outcome === Admitted).length, 1)
    scene.fleet.stopAll()
  })

  // While requests wait, the server must not become idle between two prompts.
  it('keeps the server reading while requests are queued', async t => {
    const { fleet, server, requester } = await start()
    const requests = Array.from({ length: 6 }, () => fleet.request(requester, server, { startInMs: 4000 }))
    await fleet.pass(6 * 9190 / capacity.tokensPerMs + 40)
    t.deepEqual(requests.map(({ isUnread }) => isUnread), requests.map(() => false))
    fleet.stopAll()
  })

  // An urgent request that counts the prompts of less urgent ones would avoid a server that serves it first.
  it('adds what is queued before a priority to the load that a query returns', async t => {
    const scene = await start()
    await occupy(scene)
    const { fleet, server, requester } = scene
    fleet.request(requester, server, { priority: 5 })
    await fleet.pass(5)
    const tokensAt = async (priority?: number): Promise<number> => {
      const answered = requester.load.query({ servers: [server.hash], priority })
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
    const scene = await start()
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
    const scene = await start()
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
    const scene = await start()
    await occupy(scene, 5)
    const request = scene.fleet.request(scene.requester, scene.server, { startInMs: 400 })
    await scene.fleet.pass(5)
    t.is(request.result?.outcome, Rejected)
    const retryMs = (request.result?.retryAt ?? 0) - request.decidedAt
    t.true(retryMs > 400 && retryMs < 6 * 9190 / capacity.tokensPerMs, `${retryMs} ms`)
    scene.fleet.stopAll()
  })
})

describe('admission when an instance fails', () => {
  // The table of failures on the design page, a case each.
  it('asks the standby when the owner died, and skips the owner after two requests', async t => {
    const { fleet, server, owner, standby, requester } = await start()
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
    const scene = await start()
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
    const { fleet, server, owner, standby, requester } = await start()
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
    const { fleet, server, owner, standby, requester } = await start()
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
    const { fleet, server, owner, requester } = await start()
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
    const { fleet, server, owner, standby, requester } = await start()
    owner.isFrozen = true
    await fleet.pass(4000)
    fleet.thaw(owner)
    const request = fleet.request(requester, server)
    await fleet.pass(30)
    assertDecidedBy(t, request, standby)
    await fleet.pass(1100)
    const later = fleet.request(requester, server)
    await fleet.pass(30)
    assertDecidedBy(t, later, owner)
    fleet.stopAll()
  })

  it('asks the standby while the owner is cut off, and the owner again within 3 s', async t => {
    const { fleet, server, owner, standby, requester } = await start()
    owner.side = 1
    const request = fleet.request(requester, server)
    await fleet.pass(500)
    assertDecidedBy(t, request, standby)
    await fleet.pass(500)
    owner.side = 0
    await fleet.pass(3000)
    const later = fleet.request(requester, server)
    await fleet.pass(30)
    assertDecidedBy(t, later, owner)
    fleet.stopAll()
  })

  it('gets no decision from an owner that started without state until all reports are repeated', async t => {
    const scene = await start()
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
    const later = fleet.request(requester, server)
    await fleet.pass(600)
    assertDecidedBy(t, later, owner)
    fleet.stopAll()
  })

  // Instances learn of a new member one after the other; until then two instances decide on its servers.
  it('with two owners for a while exceeds the read-ahead by no more than one prompt for each', async t => {
    const scene = await start()
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
    const scene = await start()
    const { fleet, server, owner, requester } = scene
    server.isReading = false
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
    const scene = await start()
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
    const scene = await start()
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
