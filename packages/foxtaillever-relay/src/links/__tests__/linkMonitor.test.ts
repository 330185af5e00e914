import { SeededRandom, waitUntil } from 'foxtaillever-core'
import { LinkState } from 'foxtaillever-policy/relay/brokenLinks'
import { describe, it, VirtualClock } from 'foxtaillever-testing'
import { ServerState } from '../../model/listedServer.js'
import type { KnownServer } from '../../servers/knownServer.js'
import { ServerDirectory } from '../../servers/serverDirectory.js'
import { Suspicion } from '../linkCheck.js'
import { LinkMonitor } from '../linkMonitor.js'
import { ProbeFinding } from '../peerProbes.js'

/** How soon a probe is answered once its server is reached, milliseconds. */
const POLL_MS = 10

/** A server that accepted no connection is probed again for this long, milliseconds. */
const CONFIRMED_WITHIN_MS = 60

/** A monitor with servers in three failure domains, whose probes are answered as the test says. */
class Rig {
  readonly clock = VirtualClock.create()
  readonly directory = ServerDirectory.create({ onChanged: () => {}, now: () => this.clock.now() })
  /** Servers that this instance reaches. */
  readonly reached = new Set<string>()
  /** What the other instances find. */
  findings: readonly ProbeFinding[] = [ProbeFinding.Reached, ProbeFinding.Reached]
  peerProbes = 0
  readonly probed: string[] = []
  readonly concluded: string[] = []
  readonly states: LinkState[] = []
  readonly monitor = LinkMonitor.create({
    clock: this.clock,
    random: SeededRandom.create(1),
    log: { belief: () => {} },
    directory: () => this.directory,
    probe: async ({ listed: { id } }, deadline) => {
      this.probed.push(id)
      for (let at = this.clock.now(); at < deadline && !this.reached.has(id); at = this.clock.now()) {
        await waitUntil(this.clock, Math.min(deadline, at + POLL_MS))
      }
      return this.reached.has(id)
    },
    peers: () => this.findings.map((_, index) => String(index)),
    probeThrough: async peer => {
      this.peerProbes += 1
      return this.findings[Number(peer)] ?? ProbeFinding.Unknown
    },
    onStateChanged: () => this.states.push(this.monitor.state),
    onBroken: () => {}
  })

  constructor () {
    ['a1', 'a2', 'b1', 'c1'].forEach((id, offset) => this.directory.applyEntry({
      id, startedAt: 0, service: 's', address: '127.0.0.1:1', failureDomain: id.slice(0, 1), slots: 8, state: ServerState.Ready, coldLeftMs: 0, softwareVersion: 'v1', weights: new Map()
    }, offset))
  }

  server (id: string): KnownServer {
    return this.directory.get(id) as KnownServer
  }

  async suspect (id: string, suspicion = Suspicion.Unreachable, beganAt = this.clock.now()): Promise<void> {
    this.monitor.suspect(this.server(id), suspicion, beganAt, { onServerAtFault: () => this.concluded.push(id) })
    await this.advance(suspicion === Suspicion.Unreachable ? CONFIRMED_WITHIN_MS : 0)
  }

  async advance (ms: number): Promise<void> {
    await this.clock.advanceTo(this.clock.now() + ms)
  }
}

describe('LinkMonitor', () => {
  describe('when a server accepts no connection', () => {
    // Guards against an instance that reports a server as unreachable because its own link is down.
    it('concludes nothing about the server if another instance reaches it', async t => {
      const rig = new Rig()
      await rig.suspect('a1')
      t.deepEqual(rig.concluded, [])
      t.not(rig.monitor.brokenSince(rig.server('a1')), undefined)
      t.is(rig.monitor.brokenSince(rig.server('b1')), undefined)
      t.deepEqual(rig.states, [LinkState.Partial])
    })

    it('blames the server if an instance with sound links does not reach it either', async t => {
      const rig = new Rig()
      rig.findings = [ProbeFinding.Unknown, ProbeFinding.NotReached]
      await rig.suspect('a1')
      t.deepEqual(rig.concluded, ['a1'])
      t.is(rig.monitor.state, LinkState.Sound)
    })

    // Guards against a fleet that is cut off as a whole and blames all servers, or suspects requests of having crashed them.
    it('concludes nothing if no instance can tell and no server answers', async t => {
      const rig = new Rig()
      rig.findings = [ProbeFinding.Unknown, ProbeFinding.Unknown]
      await rig.suspect('a1')
      await rig.suspect('b1')
      await rig.advance(300)
      t.deepEqual(rig.concluded, [])
      t.is(rig.monitor.state, LinkState.Cut)
    })

    // Guards against sound servers that count as ended because this instance's own broken links refuse connections.
    it('takes a refused connection for the end of a server only if another server is reached', async t => {
      for (const reached of [[], ['b1', 'c1']]) {
        const rig = new Rig()
        rig.findings = [ProbeFinding.Unknown]
        reached.forEach(id => rig.reached.add(id))
        const server = rig.server('a1')
        server.refusedConnectionAt = rig.clock.now()
        let refusedAt: number | undefined
        rig.monitor.suspect(server, Suspicion.Unresponsive, rig.clock.now(), { onNotReached: () => { refusedAt = server.refusedConnectionAt } })
        await rig.advance(1000)
        t.is(refusedAt !== undefined && refusedAt > 0, reached.length > 0)
        t.not(refusedAt, undefined)
      }
    })

    it('blames the server if no instance can tell, but another server answers', async t => {
      const rig = new Rig()
      rig.findings = [ProbeFinding.Unknown]
      rig.reached.add('b1').add('c1')
      await rig.suspect('a1')
      t.deepEqual(rig.concluded, ['a1'])
      t.is(rig.monitor.state, LinkState.Sound)
    })
  })

  describe('when an answer was lost', () => {
    it('blames the server at once if it answers a probe', async t => {
      const rig = new Rig()
      rig.reached.add('a1')
      await rig.suspect('a1', Suspicion.Unresponsive)
      t.deepEqual(rig.concluded, ['a1'])
      t.is(rig.peerProbes, 0)
    })

    // Guards against requests that count as crashes of servers because the links of their instance broke.
    it('concludes nothing if the probe fails and another instance reaches the server', async t => {
      const rig = new Rig()
      await rig.suspect('a1', Suspicion.Unresponsive)
      await rig.advance(400)
      t.deepEqual(rig.concluded, [])
      t.not(rig.monitor.brokenSince(rig.server('a1')), undefined)
    })
  })

  // Guards against instances that all take their links for broken since a silent server answers some of their probes a moment sooner.
  describe('when one server of a failure domain is out of reach', () => {
    // Guards against a request that waits in vain at each server whose link broke with the first one.
    it('finds the others out of reach without a request that fails there', async t => {
      const rig = new Rig()
      rig.reached.add('b1').add('c1')
      await rig.suspect('a1')
      await rig.advance(250)
      t.not(rig.monitor.brokenSince(rig.server('a2')), undefined)
      t.deepEqual(rig.concluded, [])
      t.is(rig.monitor.state, LinkState.Partial)
    })

    it('does not take one that it reaches for out of reach, nor blames it', async t => {
      const rig = new Rig()
      rig.reached.add('a2').add('b1').add('c1')
      await rig.suspect('a1')
      await rig.advance(100)
      t.is(rig.monitor.brokenSince(rig.server('a2')), undefined)
      t.true(rig.probed.includes('a2'))
      t.deepEqual(rig.concluded, [])
    })
  })

  it('takes no link for broken if the server answers here too a moment later', async t => {
    for (const suspicion of Object.values(Suspicion)) {
      const rig = new Rig()
      rig.monitor.suspect(rig.server('a1'), suspicion, rig.clock.now(), { onServerAtFault: () => rig.concluded.push('a1') })
      await rig.advance(CONFIRMED_WITHIN_MS - 2 * POLL_MS)
      rig.reached.add('a1')
      await rig.advance(300)
      t.deepEqual(rig.concluded, ['a1'], suspicion)
      t.is(rig.monitor.state, LinkState.Sound, suspicion)
    }
  })

  it('checks a server once for all that failed there meanwhile', async t => {
    const rig = new Rig()
    rig.findings = [ProbeFinding.NotReached]
    rig.reached.add('a1')
    const { monitor } = rig
    for (let index = 0; index < 10; index += 1) {
      monitor.suspect(rig.server('a1'), Suspicion.Unresponsive, rig.clock.now(), { onServerAtFault: () => rig.concluded.push('a1') })
    }
    await rig.advance(0)
    t.is(rig.concluded.length, 10)
    t.deepEqual(rig.probed, ['a1'])
  })

  // Guards against connections that hang without an error until each request has timed out.
  it('checks two servers when none is heard from while several should answer', async t => {
    const rig = new Rig()
    rig.directory.recordHeard(rig.server('a1'))
    rig.monitor.beginWait(rig.server('a1'))
    const endWait = rig.monitor.beginWait(rig.server('b1'))
    await rig.advance(700)
    t.is(rig.monitor.state, LinkState.Cut)
    endWait()
    rig.monitor.stop()
  })

  // Guards against an instance that knows one broken link and takes the silence of the others for granted.
  it('checks the servers that are still expected to answer', async t => {
    const rig = new Rig()
    rig.directory.recordHeard(rig.server('a1'))
    await rig.suspect('a1')
    for (const id of ['a1', 'b1', 'c1']) {
      rig.monitor.beginWait(rig.server(id))
    }
    await rig.advance(700)
    t.is(rig.monitor.state, LinkState.Cut)
    t.false(rig.probed.includes('a1') && !rig.probed.includes('b1'))
    rig.monitor.stop()
  })

  it('does not check a single silent server, nor while others are heard', async t => {
    const rig = new Rig()
    const endWait = rig.monitor.beginWait(rig.server('a1'))
    await rig.advance(1000)
    t.deepEqual(rig.probed, [])
    rig.monitor.beginWait(rig.server('b1'))
    for (let index = 0; index < 20; index += 1) {
      rig.directory.recordHeard(rig.server('c1'))
      await rig.advance(100)
    }
    t.deepEqual(rig.probed, [])
    endWait()
    rig.monitor.stop()
  })

  describe('when its links are broken', () => {
    // Guards against an instance that goes on sending through others after its links have returned.
    it('finds each failure domain within reach again with the first answered probe', async t => {
      const rig = new Rig()
      await rig.suspect('a1')
      await rig.suspect('b1')
      t.is(rig.monitor.state, LinkState.Cut)
      t.false(rig.monitor.isBrokenLastingly)
      await rig.advance(600)
      t.true(rig.monitor.isBrokenLastingly)
      rig.reached.add('a1').add('a2')
      await rig.advance(600)
      t.is(rig.monitor.state, LinkState.Partial)
      t.is(rig.monitor.brokenSince(rig.server('c1')), undefined)
      rig.reached.add('b1')
      await rig.advance(600)
      t.is(rig.monitor.state, LinkState.Sound)
      rig.monitor.stop()
    })

    // Guards against requests that hung on a broken link and count as crashes once it works again.
    it('concludes nothing from what began before they returned', async t => {
      const rig = new Rig()
      const beganAt = rig.clock.now()
      await rig.suspect('a1')
      ;['a1', 'a2', 'b1', 'c1'].forEach(id => rig.reached.add(id))
      await rig.advance(600)
      t.is(rig.monitor.state, LinkState.Sound)
      await rig.suspect('b1', Suspicion.Unresponsive, beganAt)
      t.deepEqual(rig.concluded, [])
      await rig.suspect('b1', Suspicion.Unresponsive)
      t.deepEqual(rig.concluded, ['b1'])
    })

    // Guards against instances that are cut off together and confirm each other's findings.
    it('tells other instances that it does not know whether a server works', async t => {
      const rig = new Rig()
      await rig.suspect('a1')
      t.is(await rig.monitor.findFor(rig.server('a1').hash), ProbeFinding.Unknown)
      rig.monitor.stop()
    })
  })

  describe('when another instance asks', () => {
    // Guards against instances that are cut off at the same time and take each other's findings for proof.
    it('says that a server is reached or not, and that it cannot tell while it reaches no other', async t => {
      const rig = new Rig()
      rig.reached.add('b1').add('c1')
      t.is(await rig.monitor.findFor(rig.server('b1').hash), ProbeFinding.Reached)
      const notReached = rig.monitor.findFor(rig.server('a1').hash)
      await rig.advance(300)
      t.is(await notReached, ProbeFinding.NotReached)
      rig.reached.clear()
      const unknown = rig.monitor.findFor(rig.server('a1').hash)
      await rig.advance(300)
      t.is(await unknown, ProbeFinding.Unknown)
      t.is(await rig.monitor.findFor(4711), ProbeFinding.Unknown)
    })
  })
})
