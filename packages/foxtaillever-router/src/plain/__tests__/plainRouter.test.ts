import type { Socket } from 'node:net'
import { FailureCode, Verdict } from 'foxtaillever-core'
import { describe, it } from 'foxtaillever-testing'
import { Right } from 'purify-ts'
import type { Claims } from '../../core/claimDesk.js'
import { closedPort, createConfiguration, PlainRig, startScripted, whole } from '../__fixtures__/plainRig.js'
import { matchCall } from '../matchCall.js'

/** Reads the first bytes of a call and then cuts the connection. */
function cut (socket: Socket): void {
  socket.destroy()
}

function work (socket: Socket): void {
  socket.write(whole('done'))
}

/** Waits until so many calls have arrived at the servers together. */
async function arrivals (servers: ReadonlyArray<{ readonly calls: readonly Socket[] }>, count: number): Promise<void> {
  while (servers.reduce((sum, { calls }) => sum + calls.length, 0) < count) {
    await new Promise(resolve => setImmediate(resolve))
  }
}

describe('plain services', () => {
  describe('when a backend server cuts the connection after it has read the call', () => {
    it('repeats a lookup at another one', async t => {
      // The server crashed while it worked on a lookup. The associate should
      // see the citation as if nothing had happened.
      const cutting = await startScripted(t, cut)
      const working = await startScripted(t, work)
      const rig = await PlainRig.start(t, [cutting.port, working.port])
      const answer = await rig.call('GET', '/citations/1')
      t.is(answer.status, 200)
      t.is(cutting.calls.length, 1)
    })

    it('never repeats an export, and says that it may have run', async t => {
      // The server crashed while it worked on a billed export. Nobody can know
      // whether it was billed, so a second try might bill the client twice.
      const cutting = await startScripted(t, cut)
      const working = await startScripted(t, work)
      const rig = await PlainRig.start(t, [cutting.port, working.port])
      const answer = await rig.call('POST', '/exports')
      t.is(answer.status, 502)
      t.is(answer.headers.get('x-verdict'), 'may_have_run')
      t.is(working.calls.length, 0)
    })
  })

  describe('when no connection to a backend server can be made', () => {
    it('sends an export to another one, since no byte of it has left', async t => {
      const working = await startScripted(t, work)
      const rig = await PlainRig.start(t, [await closedPort(), working.port])
      const answer = await rig.call('POST', '/exports')
      t.is(answer.status, 200)
      t.is(working.calls.length, 1)
    })

    it('says not run, and when to come back, when that was the last one', async t => {
      const rig = await PlainRig.start(t, [await closedPort()])
      const answer = await rig.call('POST', '/exports')
      t.is(answer.headers.get('x-verdict'), 'not_run')
      t.is(answer.headers.get('retry-after'), '1')
    })
  })

  describe('when every backend server loses the call', () => {
    // Both servers crash over a lookup. A status for "not run" would be wrong:
    // the caller's log would deny work that was done.
    it('says that it may have run, with the status of a lost call', async t => {
      const servers = [await startScripted(t, cut), await startScripted(t, cut)]
      const rig = await PlainRig.start(t, servers.map(({ port }) => port))
      const answer = await rig.call('GET', '/citations/1')
      t.is(answer.status, 502)
      t.is(answer.headers.get('x-verdict'), 'may_have_run')
      t.is(JSON.parse(answer.body).error.code, FailureCode.ConnectionLost)
    })
  })

  describe('the choice of a backend server', () => {
    it('spreads calls evenly', async t => {
      const servers = [await startScripted(t, () => {}), await startScripted(t, () => {})]
      const rig = await PlainRig.start(t, servers.map(({ port }) => port))
      for (let count = 1; count <= 4; count += 1) {
        rig.call('GET', '/citations/1').catch(() => {})
        await arrivals(servers, count)
      }
      t.deepEqual(servers.map(({ calls }) => calls.length), [2, 2])
    })

    // One of two servers cuts every connection. Half of all calls would be lost
    // first, and the exports among them for good.
    it('passes over a server that keeps failing, and tries it again later', async t => {
      const cutting = await startScripted(t, cut)
      const working = await startScripted(t, work)
      const rig = await PlainRig.start(t, [cutting.port, working.port])
      for (let count = 0; count < 10; count += 1) {
        await rig.call('GET', '/citations/1')
      }
      t.is(cutting.calls.length, 3)
      await rig.clock.advanceBy(60_000)
      await rig.call('GET', '/citations/1')
      t.is(cutting.calls.length, 4)
    })

    it('sends a call to the only server that is left, however often it failed', async t => {
      let isBroken = true
      const server = await startScripted(t, socket => isBroken ? cut(socket) : work(socket))
      const rig = await PlainRig.start(t, [server.port])
      for (let count = 0; count < 5; count += 1) {
        await rig.call('GET', '/citations/1')
      }
      isBroken = false
      t.is((await rig.call('GET', '/citations/1')).status, 200)
    })

    // A server is drained and put back in service. Remembered as one that
    // leaves, it would get no calls until the instance is restarted.
    it('sends nothing to a server that leaves, and calls again when it is back', async t => {
      const servers = [await startScripted(t, work), await startScripted(t, work)]
      const rig = await PlainRig.start(t, servers.map(({ port }) => port))
      rig.router.observeLeaving('plain-0', true)
      await rig.call('GET', '/citations/1')
      rig.router.observeLeaving('plain-0', false)
      rig.router.observeLeaving('plain-1', true)
      await rig.call('GET', '/citations/1')
      t.deepEqual(servers.map(({ calls }) => calls.length), [1, 1])
    })

    // A server moves to another machine under its name. Connections to the old
    // one would be used until they fail.
    it('follows a server to its new address', async t => {
      const [old, moved] = [await startScripted(t, work), await startScripted(t, work)]
      const rig = await PlainRig.start(t, [old.port])
      await rig.call('GET', '/citations/1')
      rig.configure(createConfiguration([moved.port], 2))
      await rig.call('GET', '/citations/1')
      t.deepEqual([old.calls.length, moved.calls.length], [1, 1])
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
      const server = await startScripted(t, () => {})
      const rig = await PlainRig.start(t, [server.port], createClaims(settled))
      const caller = new AbortController()
      const call = rig.call('POST', '/exports', { headers, signal: caller.signal }).catch(() => {})
      await arrivals([server], 1)
      const closed = new Promise(resolve => server.calls[0]?.once('close', resolve))
      caller.abort()
      await Promise.all([call, closed])
      t.deepEqual(settled, [Verdict.MayHaveRun])
    })

    it('are settled by what the backend server proved', async t => {
      const settled: Verdict[] = []
      const answers = [work, cut, (socket: Socket) => socket.write(whole('', '503 Busy', 'x-verdict: not_run'))]
      const server = await startScripted(t, (socket, call) => answers[call]?.(socket))
      const rig = await PlainRig.start(t, [server.port], createClaims(settled))
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
      const configuration = createConfiguration([1])
      for (const url of ['/records/citations/../exports', '/records/citations/%2e%2E/exports', '/records/citations/.%2e/exports']) {
        t.true(matchCall(configuration, 'GET', url).isLeft(), url)
      }
    })

    it('matches whole segments only', t => {
      const configuration = createConfiguration([1])
      t.true(matchCall(configuration, 'GET', '/records/citations/7?full=1').isRight())
      t.true(matchCall(configuration, 'GET', '/records/citationsx').isLeft())
      t.true(matchCall(configuration, 'GET', '/recordsx/citations').isLeft())
    })
  })
})
