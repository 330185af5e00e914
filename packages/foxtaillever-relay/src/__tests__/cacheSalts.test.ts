import { describe, it } from 'foxtaillever-testing'
import { RelayRig } from '../__fixtures__/relayRig.js'
import { wholeAnswer, type Arrival } from '../__fixtures__/scriptedServer.js'
import { CacheIsolation } from '../cache/cacheIsolation.js'
import { Repeatability } from '../model/routing.js'

const MODEL = 'm'
const REQUESTS = 5
const FORMER_SALT = 'salt: shared/w1'

function answer (arrival: Arrival): void {
  arrival.socket.write(wholeAnswer(arrival, arrival.id))
}

/** A server that answers at once, except requests with the salt from before the change, which wait. */
async function startWaiting (repeatability: Repeatability): Promise<{ readonly rig: RelayRig, readonly replies: Promise<string[]>, readonly waiting: readonly Arrival[] }> {
  const waiting: Arrival[] = []
  const rig = await RelayRig.start({ repeatability, mostAttempts: 2 }, arrival => arrival.head.includes(FORMER_SALT) ? waiting.push(arrival) : answer(arrival))
  rig.directory.get('s0')?.weights.set(MODEL, 1)
  const replies = Promise.all(Array.from({ length: REQUESTS }, async (_, index) => await rig.sendRequest(`r${index}`, '', [`model: ${MODEL}`])))
  await rig.servers[0]?.arrived(REQUESTS)
  return { rig, replies, waiting }
}

function isolate (rig: RelayRig): void {
  rig.routing = { ...rig.routing, cacheIsolation: CacheIsolation.create([{ name: 'a', apiKeys: [], priority: undefined, isIsolated: true, quota: undefined }]) }
}

describe('requests that wait at a server while an account becomes isolated', () => {
  // Guards against requests that begin on levels of the isolated account, and against a failure for want of another server.
  it('are sent again with the new salt, to the same server if there is no other', async t => {
    const { rig, replies, waiting } = await startWaiting(Repeatability.Idempotent)
    isolate(rig)
    rig.runs.checkCacheSalts()
    t.true((await replies).every((reply, index) => reply.includes('200') && reply.endsWith(`r${index}`)))
    t.is(waiting.length, REQUESTS)
    t.is(rig.arrivals, 2 * REQUESTS)
    rig.stop()
  })

  // Guards against requests that are withdrawn and then fail, because the retry budget has no room for them.
  it('keep their place where the retry budget has no room', async t => {
    const { rig, replies, waiting } = await startWaiting(Repeatability.Idempotent)
    while (rig.retries.available('s', rig.clock.now()) >= 3) {
      rig.retries.tryRetry('s', rig.clock.now())
    }
    isolate(rig)
    rig.runs.checkCacheSalts()
    await rig.servers[0]?.arrived(REQUESTS + 2)
    waiting.forEach(answer)
    t.true((await replies).every(reply => reply.includes('200')))
    t.is(rig.arrivals, REQUESTS + 2)
    rig.stop()
  })

  // Guards against a second run of a request that may run once.
  it('keep their place if they may run only once', async t => {
    const { rig, replies, waiting } = await startWaiting(Repeatability.Once)
    isolate(rig)
    rig.runs.checkCacheSalts()
    waiting.forEach(answer)
    t.true((await replies).every(reply => reply.includes('200')))
    t.is(rig.arrivals, REQUESTS)
    rig.stop()
  })

  // Guards against requests that are sent again at every change of the configuration.
  it('keep their place if the same accounts are isolated', async t => {
    const { rig, replies, waiting } = await startWaiting(Repeatability.Idempotent)
    rig.routing = { ...rig.routing, revision: 2, cacheIsolation: CacheIsolation.create([]) }
    rig.runs.checkCacheSalts()
    waiting.forEach(answer)
    t.true((await replies).every(reply => reply.includes('200')))
    t.is(rig.arrivals, REQUESTS)
    rig.stop()
  })
})
