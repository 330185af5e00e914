import { FailureCode, Verdict } from 'foxtaillever-core'
import { wholeAnswer, type Answer } from 'foxtaillever-relay/__fixtures__/scriptedServer'
import { describe, it } from 'foxtaillever-testing'
import { Right } from 'purify-ts'
import type { Claims } from '../../core/claimDesk.js'
import { closedPort, createConfiguration, PlainRig } from '../__fixtures__/plainRig.js'
import { matchCall } from '../matchCall.js'

/** Reads the first bytes of a call and then cuts the connection. */
const cut: Answer = ({ socket }) => socket.destroy()

const work: Answer = arrival => arrival.socket.write(wholeAnswer(arrival, 'done'))

const hang: Answer = () => {}

describe('plain services', () => {
  describe('when a backend server cuts the connection after it has read the call', () => {
    it('repeats a lookup at another one', async t => {
      // The server crashed while it worked on a lookup. The associate should
      // see the citation as if nothing had happened.
      const rig = await PlainRig.start(t, cut, work)
      t.is((await rig.call('GET', '/citations/1')).status, 200)
      t.deepEqual(rig.arrivals, [1, 1])
    })

    it('never repeats an export, and says that it may have run', async t => {
      // The server crashed while it worked on a billed export. Nobody can know
      // whether it was billed, so a second try might bill the client twice.
      const rig = await PlainRig.start(t, cut, work)
      const answer = await rig.call('POST', '/exports')
      t.is(answer.status, 502)
      t.is(answer.headers.get('x-verdict'), 'may_have_run')
      t.deepEqual(rig.arrivals, [1, 0])
    })
  })

  describe('when no connection to a backend server can be made', () => {
    it('sends an export to another one, since no byte of it has left', async t => {
      const rig = await PlainRig.start(t, work)
      const [working = ''] = rig.servers.map(({ address }) => address)
      rig.configure(createConfiguration([await closedPort(), working], 2))
      t.is((await rig.call('POST', '/exports')).status, 200)
      t.deepEqual(rig.arrivals, [1])
    })

    it('says not run, and when to come back, when that was the last one', async t => {
      const rig = await PlainRig.start(t)
      rig.configure(createConfiguration([await closedPort()], 2))
      const answer = await rig.call('POST', '/exports')
      t.is(answer.headers.get('x-verdict'), 'not_run')
      t.is(answer.headers.get('retry-after'), '1')
    })
  })

  describe('when a backend server asks for rest', () => {
    // Guards against calls that a server has turned away for a time of its own.
    it('sends it nothing until then, and the calls to another one', async t => {
      const rest: Answer = arrival => arrival.socket.write(wholeAnswer(arrival, '', '503 Busy', 'x-verdict: not_run', 'retry-after: 3'))
      const rig = await PlainRig.start(t, rest, work)
      for (const path of ['/exports', '/exports', '/exports']) {
        t.is((await rig.call('POST', path)).status, 200)
      }
      t.deepEqual(rig.arrivals, [1, 3])
    })
  })

  describe('when every backend server loses the call', () => {
    // Both servers crash over a lookup. A status for "not run" would be wrong:
    // the caller's log would deny work that was done.
    it('says that it may have run, with the status of a lost call', async t => {
      const rig = await PlainRig.start(t, cut, cut)
      const answer = await rig.call('GET', '/citations/1')
      t.is(answer.status, 502)
      t.is(answer.headers.get('x-verdict'), 'may_have_run')
      t.is(JSON.parse(answer.body).error.code, FailureCode.ConnectionLost)
    })
  })

  describe('the choice of a backend server', () => {
    it('spreads calls evenly', async t => {
      const rig = await PlainRig.start(t, hang, hang)
      for (const place of [0, 1, 0, 1]) {
        const server = rig.servers[place]
        const arrived = server?.arrived(server.arrivals.length + 1)
        rig.call('GET', '/citations/1').catch(() => {})
        await arrived
      }
      t.deepEqual(rig.arrivals, [2, 2])
    })

    // One of two servers cuts every connection. Half of all calls would be lost
    // first, and the exports among them for good.
    it('passes over a server that keeps failing, and tries it again later', async t => {
      const rig = await PlainRig.start(t, cut, work)
      for (let count = 0; count < 10; count += 1) {
        await rig.call('GET', '/citations/1')
      }
      t.is(rig.arrivals[0], 3)
      await rig.clock.advanceBy(60_000)
      await rig.call('GET', '/citations/1')
      t.is(rig.arrivals[0], 4)
    })

    it('sends a call to the only server that is left, however often it failed', async t => {
      const rig = await PlainRig.start(t, arrival => (rig.arrivals[0] ?? 0) > 5 ? work(arrival) : cut(arrival))
      for (let count = 0; count < 5; count += 1) {
        await rig.call('GET', '/citations/1')
      }
      t.is((await rig.call('GET', '/citations/1')).status, 200)
    })

    // A server is drained and put back in service. Remembered as one that
    // leaves, it would get no calls until the instance is restarted.
    it('sends nothing to a server that leaves, and calls again when it is back', async t => {
      const rig = await PlainRig.start(t, work, work)
      rig.router.observeLeaving('plain-0', true)
      await rig.call('GET', '/citations/1')
      rig.router.observeLeaving('plain-0', false)
      rig.router.observeLeaving('plain-1', true)
      await rig.call('GET', '/citations/1')
      t.deepEqual(rig.arrivals, [1, 1])
    })

    // A server moves to another machine under its name. Connections to the old
    // one would be used until they fail.
    it('follows a server to its new address', async t => {
      const rig = await PlainRig.start(t, work, work)
      for (const [revision, { address }] of rig.servers.entries()) {
        rig.configure(createConfiguration([address], revision + 2))
        await rig.call('GET', '/citations/1')
      }
      t.deepEqual(rig.arrivals, [1, 1])
    })
  })

  describe('claims of calls that run once', () => {
    const headers = { 'idempotency-key': '1700000000000-export' }

    function createClaims (settled: Verdict[]): Claims {
      return { claim: async () => Right({} as never), cancel: () => {}, settle: (_, verdict) => settled.push(verdict) }
    }

    // The caller of a billed export leaves while it runs. Settled as not run,
    // its second call under the same key would be billed again.
    it('are settled as may have run when the caller leaves', async t => {
      const settled: Verdict[] = []
      const rig = await PlainRig.claiming(t, createClaims(settled), hang)
      const caller = new AbortController()
      const call = rig.call('POST', '/exports', { headers, signal: caller.signal }).catch(() => {})
      await rig.servers[0]?.arrived(1)
      caller.abort()
      await Promise.all([call, rig.servers[0]?.closed(0)])
      t.deepEqual(settled, [Verdict.MayHaveRun])
    })

    it('are settled by what the backend server proved', async t => {
      const settled: Verdict[] = []
      const refuse: Answer = arrival => arrival.socket.write(wholeAnswer(arrival, '', '503 Busy', 'x-verdict: not_run'))
      const answers = [work, cut, refuse]
      const rig = await PlainRig.claiming(t, createClaims(settled), arrival => answers.shift()?.(arrival))
      for (const status of [200, 502, 503]) {
        t.is((await rig.call('POST', '/exports', { headers })).status, status)
      }
      t.deepEqual(settled, [Verdict.Ran, Verdict.MayHaveRun, Verdict.NotRun])
    })
  })

  describe('paths', () => {
    it('does not let an export pass for a lookup by a path that steps upwards', t => {
      // A caller asks for citations/../exports. The service would resolve it
      // to an export, which the router took for a repeatable lookup.
      const configuration = createConfiguration(['127.0.0.1:1'])
      for (const url of ['/records/citations/../exports', '/records/citations/%2e%2E/exports', '/records/citations/.%2e/exports']) {
        t.true(matchCall(configuration, 'GET', url).isLeft(), url)
      }
    })

    it('matches whole segments only', t => {
      const configuration = createConfiguration(['127.0.0.1:1'])
      t.true(matchCall(configuration, 'GET', '/records/citations/7?full=1').isRight())
      t.true(matchCall(configuration, 'GET', '/records/citationsx').isLeft())
      t.true(matchCall(configuration, 'GET', '/recordsx/citations').isLeft())
    })
  })
})
