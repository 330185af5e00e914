/** Guards against work that is done again and again, and that one unexpected error ends for good. */
import { SeededRandom } from 'foxtaillever-core'
import { Logs } from 'foxtaillever-telemetry'
import { UdpDatagrams } from 'foxtaillever-fleet/membership/datagrams'
import { describe, it, VirtualClock } from 'foxtaillever-testing'
import { Right } from 'purify-ts'
import { StoreMonitor } from '../cache/storeMonitor.js'
import { PeerRecordFetcher } from '../knowledge/peerRecordFetcher.js'
import { AnnouncedTopic } from '../peers/announcedTopic.js'
import { SettingsFile } from '../settings/settingsFile.js'
import { MetricsServer } from '../telemetry/metricsServer.js'
import { RelayLog } from '../telemetry/relayLog.js'
import { OrderingFleet, type Instance } from '../weights/__fixtures__/orderingFleet.js'

const SECOND_MS = 1000

/** Below the ports that the system gives out. */
const METRICS_PORT = 17_351

const unexpected = new RangeError('unexpected')

/** Advances the clock past tasks that throw. Returns how many did. */
async function advance (clock: VirtualClock, ms: number): Promise<number> {
  const until = clock.now() + ms
  let thrown = 0
  while (clock.now() < until) {
    try {
      await clock.advanceTo(until)
    } catch (error) {
      thrown += error === unexpected ? 1 : 0
    }
  }
  return thrown
}

describe('after an unexpected error', () => {
  it('the settings file is read again', async t => {
    const clock = VirtualClock.create()
    const seen: string[] = []
    let text = 'first'
    const file = SettingsFile.create<string>({
      clock,
      readText: () => text,
      parse: settings => Right(settings),
      onChanged: settings => {
        seen.push(settings)
        if (settings === 'odd') {
          throw unexpected
        }
      },
      onRejected: () => {}
    })
    file.readFirst()
    file.startPolling()
    text = 'odd'
    t.is(await advance(clock, 5 * SECOND_MS), 1)
    text = 'sound'
    await advance(clock, 5 * SECOND_MS)
    t.deepEqual(seen, ['odd', 'sound'])
  })

  it('a store of cached levels is polled again', async t => {
    const clock = VirtualClock.create()
    let polls = 0
    const monitor = StoreMonitor.create({
      clock,
      calls: {
        poll: async () => {
          polls += 1
          if (polls === 1) {
            throw unexpected
          }
          return Right({ incarnation: 1, nextEvent: 0 })
        }
      },
      stores: () => [{ address: 's', hash: 1, failureDomain: 'd', cacheTokens: 1, linkBytesPerMs: 1 }],
      onChanged: () => {},
      onError: () => {}
    })
    monitor.start()
    for (let count = 0; count < 5; count += 1) {
      await new Promise(resolve => setImmediate(resolve))
      await clock.advanceBy(SECOND_MS)
    }
    t.true(polls > 1, `${polls} polls`)
  })

  it('records are fetched again from another instance', async t => {
    let calls = 0
    const fetcher = PeerRecordFetcher.create({
      random: SeededRandom.create(1),
      relayLog: RelayLog.create(Logs.create({ instance: 'a', level: 'silent', clock: VirtualClock.create() })),
      link: () => ({
        fetchRecords: async () => {
          calls += 1
          throw unexpected
        }
      }),
      onAnswer: () => {}
    })
    for (let count = 0; count < 2; count += 1) {
      await t.throwsAsync(fetcher.fetchRecords('b', AnnouncedTopic.Servers, 0, -Infinity), { is: unexpected })
      await new Promise(resolve => setImmediate(resolve))
    }
    t.is(calls, 2)
  })

  it('engines still get new weights', async t => {
    const fleet = OrderingFleet.create({ instances: 1 })
    const [instance] = fleet.instances
    const { lease } = instance as Instance
    const acquire = lease.acquire.bind(lease)
    let attempts = 0
    lease.acquire = async () => {
      attempts += 1
      if (attempts === 1) {
        throw unexpected
      }
      return await acquire()
    }
    fleet.name(2)
    await fleet.clock.advanceBy(10 * SECOND_MS)
    t.true(fleet.engines.versions.every(version => version === 2), `${attempts} attempts`)
  })
})

describe('after an unexpected error of a call to an engine', () => {
  for (const call of ['report', 'order'] as const) {
    it(`the engine still gets new weights: ${call}`, async t => {
      const fleet = OrderingFleet.create({ instances: 1, engines: 1 })
      const original = fleet.engines[call].bind(fleet.engines) as (...terms: unknown[]) => Promise<unknown>
      let calls = 0
      Object.assign(fleet.engines, {
        [call]: async (...terms: unknown[]) => {
          calls += 1
          if (calls === 1) {
            throw unexpected
          }
          return await original(...terms)
        }
      })
      fleet.name(2)
      await fleet.clock.advanceBy(20 * SECOND_MS)
      t.deepEqual(fleet.engines.versions, [2], `${calls} calls`)
    })
  }
})

describe('a path that cannot be decoded', () => {
  it('is answered by the server for operators', async t => {
    const server = MetricsServer.create({ render: () => '', dump: () => ({}), quarantines: () => ({}), liftQuarantine: () => true })
    server.listen({ host: '127.0.0.1', port: METRICS_PORT }, reason => t.fail(reason))
    const { status } = await fetch(`http://127.0.0.1:${METRICS_PORT}/quarantines/%zz`, { method: 'DELETE', signal: AbortSignal.timeout(SECOND_MS) })
    t.is(status, 404)
    server.close()
  })
})

describe('an address that no datagram can be sent to', () => {
  it('costs its datagram only, and no shutdown waits for it', async t => {
    const datagrams = UdpDatagrams.create('127.0.0.1:0')
    await datagrams.bind()
    for (const address of ['127.0.0.1:99999', '127.0.0.1:0', '127.0.0.1', 'nowhere:1', '']) {
      t.notThrows(() => datagrams.send(address, Buffer.from('a')), address)
    }
    await datagrams.close()
  })
})
