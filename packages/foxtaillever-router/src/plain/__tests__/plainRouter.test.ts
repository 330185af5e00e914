import { FailureCode, Verdict } from 'foxtaillever-core'
import { wholeAnswer, type Answer } from 'foxtaillever-relay/__fixtures__/scriptedServer'
import { describe, it } from 'foxtaillever-testing'
import { Right } from 'purify-ts'
import type { Claims } from '../../core/claims.js'
import { closedPort, createConfiguration, PlainRig } from '../__fixtures__/plainRig.js'
import { matchCall } from '../matchCall.js'

/** Reads the first bytes of a call and then cuts the connection. */
const cut: Answer = ({ socket }) => socket.destroy()

const work: Answer = arrival => arrival.socket.write(wholeAnswer(arrival, 'done'))

const neverAnswer: Answer = () => {}

describe('plain services', () => {
  describe('when a backend server cuts the connection after it has read the call', () => {
    it('repeats a lookup at another server', async t => {
      // The server crashes while it processes a lookup. The caller should still
      // receive the citation.
      const rig = await PlainRig.start(t, cut, work)
      t.is((await rig.call('GET', '/citations/1')).status, 200)
      t.deepEqual(rig.arrivals, [1, 1])
    })

    it('never repeats an export, and says that it may have run', async t => {
      // The server crashes while it processes a billed export. It is unknown
      // whether it was billed, so a second attempt might bill the client twice.
      const rig = await PlainRig.start(t, cut, work)
      const answer = await rig.call('POST', '/exports')
      t.is(answer.status, 502)
      t.is(answer.headers.get('x-verdict'), 'may_have_run')
      t.deepEqual(rig.arrivals, [1, 0])
    })
  })

  describe('when no connection to a backend server can be made', () => {
    it('sends an export to another server, since no byte of it was sent', async t => {
      const rig = await PlainRig.start(t, work)
      const [working = ''] = rig.servers.map(({ address }) => address)
      rig.configure(createConfiguration([await closedPort(), working], 2))
      t.is((await rig.call('POST', '/exports')).status, 200)
      t.deepEqual(rig.arrivals, [1])
    })

    it('answers not run, with the time to retry, when no other server is left', async t => {
      const rig = await PlainRig.start(t)
      rig.configure(createConfiguration([await closedPort()], 2))
      const answer = await rig.call('POST', '/exports')
      t.is(answer.headers.get('x-verdict'), 'not_run')
      t.is(answer.headers.get('retry-after'), '1')
    })
  })

  describe('when a backend server requests a backoff', () => {
    // Guards against calls to a server that has refused calls for a stated time.
    it('sends it nothing until then, and the calls to another server', async t => {
      const rest: Answer = arrival => arrival.socket.write(wholeAnswer(arrival, '', '503 Busy', 'x-verdict: not_run', 'retry-after: 3'))
      const rig = await PlainRig.start(t, rest, work)
      for (const path of ['/exports', '/exports', '/exports']) {
        t.is((await rig.call('POST', path)).status, 200)
      }
      t.deepEqual(rig.arrivals, [1, 3])
    })
  })

  describe('when every backend server loses the call', () => {
    // Both servers crash during a lookup. A status for "not run" would be wrong,
    // since the call may have been processed.
    it('answers that it may have run, with the status of a lost call', async t => {
      const rig = await PlainRig.start(t, cut, cut)
      const answer = await rig.call('GET', '/citations/1')
      t.is(answer.status, 502)
      t.is(answer.headers.get('x-verdict'), 'may_have_run')
      t.is(JSON.parse(answer.body).error.code, FailureCode.ConnectionLost)
    })
  })

  describe('the selection of a backend server', () => {
    it('spreads calls evenly', async t => {
      const rig = await PlainRig.start(t, neverAnswer, neverAnswer)
      for (const place of [0, 1, 0, 1]) {
        const server = rig.servers[place]
        const arrived = server?.arrived(server.arrivals.length + 1)
        rig.call('GET', '/citations/1').catch(() => {})
        await arrived
      }
      t.deepEqual(rig.arrivals, [2, 2])
    })

    // One of two servers closes every connection. Half of all calls would fail at
    // it first, and the exports among them could not be repeated.
    it('skips a server that keeps failing, and uses it again later', async t => {
      const rig = await PlainRig.start(t, cut, work)
      for (let count = 0; count < 10; count += 1) {
        await rig.call('GET', '/citations/1')
      }
      t.is(rig.arrivals[0], 3)
      await rig.clock.advanceBy(60_000)
      await rig.call('GET', '/citations/1')
      t.is(rig.arrivals[0], 4)
    })

    it('sends a call to the only remaining server, however often it failed', async t => {
      const rig = await PlainRig.start(t, arrival => (rig.arrivals[0] ?? 0) > 5 ? work(arrival) : cut(arrival))
      for (let count = 0; count < 5; count += 1) {
        await rig.call('GET', '/citations/1')
      }
      t.is((await rig.call('GET', '/citations/1')).status, 200)
    })

    // A server is drained and put back in service. If it stayed marked as leaving,
    // it would get no calls until the instance is restarted.
    it('sends nothing to a server that is leaving, and calls again when it is back in service', async t => {
      const rig = await PlainRig.start(t, work, work)
      rig.router.setLeaving('plain-0', true)
      await rig.call('GET', '/citations/1')
      rig.router.setLeaving('plain-0', false)
      rig.router.setLeaving('plain-1', true)
      await rig.call('GET', '/citations/1')
      t.deepEqual(rig.arrivals, [1, 1])
    })

    // A server moves to another address under the same name. Without new
    // connections, calls would go to the old address until they fail.
    it('uses the new address of a server that moved', async t => {
      const rig = await PlainRig.start(t, work, work)
      for (const [revision, { address }] of rig.servers.entries()) {
        rig.configure(createConfiguration([address], revision + 2))
        await rig.call('GET', '/citations/1')
      }
      t.deepEqual(rig.arrivals, [1, 1])
    })
  })

  describe('claims of calls that run at most once', () => {
    const headers = { 'idempotency-key': '1700000000000-export' }

    function createClaims (outcomes: Verdict[]): Claims {
      return { claim: async () => Right({} as never), cancel: () => {}, settle: (_, verdict) => outcomes.push(verdict) }
    }

    // The caller of a billed export disconnects while it runs. If "not run" were
    // recorded, its second call under the same key would be billed again.
    it('are recorded as may have run when the caller disconnects', async t => {
      const outcomes: Verdict[] = []
      const rig = await PlainRig.startWithClaims(t, createClaims(outcomes), neverAnswer)
      const caller = new AbortController()
      const call = rig.call('POST', '/exports', { headers, signal: caller.signal }).catch(() => {})
      await rig.servers[0]?.arrived(1)
      caller.abort()
      await Promise.all([call, rig.servers[0]?.closed(0)])
      t.deepEqual(outcomes, [Verdict.MayHaveRun])
    })

    it('are recorded with the verdict that the backend server proved', async t => {
      const outcomes: Verdict[] = []
      const refuse: Answer = arrival => arrival.socket.write(wholeAnswer(arrival, '', '503 Busy', 'x-verdict: not_run'))
      const answers = [work, cut, refuse]
      const rig = await PlainRig.startWithClaims(t, createClaims(outcomes), arrival => answers.shift()?.(arrival))
      for (const status of [200, 502, 503]) {
        t.is((await rig.call('POST', '/exports', { headers })).status, status)
      }
      t.deepEqual(outcomes, [Verdict.Ran, Verdict.MayHaveRun, Verdict.NotRun])
    })
  })

  describe('paths', () => {
    it('does not let an export pass for a lookup by a path with dot segments', t => {
      // A caller requests citations/../exports. The service would resolve it to an
      // export, which the router would treat as a repeatable lookup.
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
