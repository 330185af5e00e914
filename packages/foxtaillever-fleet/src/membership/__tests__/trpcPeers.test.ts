import { createHTTPServer } from '@trpc/server/adapters/standalone'
import type { AddressInfo, Server } from 'node:net'
import { SeededRandom } from 'foxtaillever-core'
import { describe, it, VirtualClock } from 'foxtaillever-testing'
import { emptyFold } from '../../configuration/foldedConfiguration.js'
import { KeyRing, Permission, type Key } from '../../security/keyRing.js'
import { createPeerRouter, PeerProcedure, sealValue } from '../peerRouter.js'
import { PEER_PATH, TrpcPeers } from '../trpcPeers.js'

const key: Key = { id: 'k1', secret: 'a secret of many characters', permissions: [Permission.Join] }

async function serve (keys: KeyRing, clock: VirtualClock) {
  const source = { configuration: () => emptyFold, memberEntries: () => [] }
  const server = createHTTPServer({ router: createPeerRouter(source, keys, clock), basePath: `${PEER_PATH}/` }) as Server
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', () => resolve()))
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  return { address, close: async () => await new Promise<void>(resolve => server.close(() => resolve())) }
}

function createPeers (keys: KeyRing, clock: VirtualClock): TrpcPeers {
  return TrpcPeers.create('caller', keys, clock, SeededRandom.create(1))
}

async function sendCall (address: string, sealed: string): Promise<number> {
  const input = encodeURIComponent(JSON.stringify({ sealed }))
  const answer = await fetch(`http://${address}${PEER_PATH}/configuration?input=${input}`)
  await answer.text()
  return answer.status
}

describe('calls between instances', () => {
  it('fetch the configuration and the members over HTTP', async t => {
    const clock = VirtualClock.create()
    const server = await serve(KeyRing.create([key]), clock)
    const peers = createPeers(KeyRing.create([key]), clock)
    t.deepEqual((await peers.configuration(server.address)).extract(), emptyFold)
    t.deepEqual((await peers.members(server.address)).extract(), [])
    await server.close()
  })

  it('are refused with a key that the called instance does not know', async t => {
    // A process without a valid key requests the configuration.
    const clock = VirtualClock.create()
    const server = await serve(KeyRing.create([key]), clock)
    const stranger = createPeers(KeyRing.create([{ ...key, secret: 'another secret of sixteen' }]), clock)
    t.true((await stranger.configuration(server.address)).isLeft())
    await server.close()
  })

  it('discard an answer that no member signed', async t => {
    // An attacker answers in a member's place with a forged configuration.
    const clock = VirtualClock.create()
    const forged = createHTTPServer({
      router: createPeerRouter({ configuration: () => emptyFold, memberEntries: () => [] }, KeyRing.create([{ ...key, id: 'k2' }, key]), clock),
      basePath: `${PEER_PATH}/`
    }) as Server
    await new Promise<void>(resolve => forged.listen(0, '127.0.0.1', () => resolve()))
    const address = `127.0.0.1:${(forged.address() as AddressInfo).port}`
    const peers = createPeers(KeyRing.create([key]), clock)
    t.true((await peers.configuration(address)).isLeft())
    await new Promise<void>(resolve => forged.close(() => resolve()))
  })

  it('answer a recorded call once', async t => {
    // An eavesdropper replays a recorded call to get newer data.
    const clock = VirtualClock.create()
    const keys = KeyRing.create([key])
    const server = await serve(keys, clock)
    const call = { sender: 'caller', incarnation: 1, sequence: 1, sentAt: clock.now(), procedure: PeerProcedure.Configuration, nonce: 'n', revision: 0 }
    const { sealed } = sealValue(keys, call)
    t.is(await sendCall(server.address, sealed), 200)
    t.is(await sendCall(server.address, sealed), 401)
    t.is(await sendCall(server.address, sealValue(keys, { ...call, sequence: 2, procedure: PeerProcedure.Members }).sealed), 401)
    await server.close()
  })
})
