import { describe, it, VirtualClock } from 'foxtaillever-testing'
import { DatagramKind } from '../../peers/datagram.js'
import { StreamHolders } from '../streamHolders.js'
import type { StreamVersionMessage } from '../streamVersionMessage.js'
import { StreamVersions, type StreamOrigin } from '../streamVersions.js'

const SERVICE = 's'
const LONG_MS = 31_000

interface Rig {
  readonly clock: VirtualClock
  readonly streams: StreamVersions
  readonly sent: Array<StreamVersionMessage & { readonly to: string }>
  readonly origins: StreamOrigin[]
  versions: string[]
  knowsRecentVersions: boolean
  /** Whether the store answers when the list is to be read. */
  hasStore: boolean
}

function createRig (versions: string[]): Rig {
  const clock = VirtualClock.create()
  let listKnownAt = -Infinity
  const rig: Rig = {
    clock,
    sent: [],
    origins: [],
    versions,
    knowsRecentVersions: false,
    hasStore: false,
    streams: StreamVersions.create({
      clock,
      address: () => 'own',
      holdersOf: () => ['a', 'b'],
      askedFor: () => ['a', 'b', 'c'],
      versionsOf: () => rig.versions,
      knowsRecentVersions: () => rig.knowsRecentVersions,
      listKnownAt: () => listKnownAt,
      refreshList: () => { listKnownAt = rig.hasStore ? clock.now() : listKnownAt },
      send: (to, message) => { rig.sent.push({ ...message, to }) }
    })
  }
  return rig
}

function find ({ streams, origins }: Rig, id: string): void {
  streams.find(SERVICE, id, origin => { origins.push(origin) })
}

function respond ({ streams }: Rig, address: string, id: string, softwareVersion?: string, areSeveral = false, hasFullKnowledge = true): void {
  streams.receive({ kind: DatagramKind.StreamVersionResponse, address, id, softwareVersion, areSeveral, hasFullKnowledge })
}

describe('StreamVersions', () => {
  describe('telling', () => {
    it('begins with the record, and is repeated to those that have not acknowledged it', async t => {
      const rig = createRig(['v1', 'v2'])
      rig.streams.record({ id: 'x', service: SERVICE, softwareVersion: 'v1' })
      t.deepEqual(rig.sent.map(({ to }) => to), ['a', 'b'])
      rig.streams.receive({ kind: DatagramKind.StreamVersionAcknowledgement, address: 'a', id: 'x' })
      await rig.clock.advanceBy(LONG_MS)
      t.deepEqual(rig.sent.map(({ to }) => to), ['a', 'b', 'b', 'b', 'b'])
    })

    it('costs nothing while servers of one version serve', async t => {
      const rig = createRig(['v1'])
      await rig.clock.advanceBy(LONG_MS)
      rig.streams.record({ id: 'x', service: SERVICE, softwareVersion: 'v1' })
      rig.streams.handleServersChanged(SERVICE)
      t.deepEqual(rig.sent, [])
    })

    // Guards against streams that began just before another version came, and that nobody but their instance knows.
    it('includes the streams that began before a second version was known', async t => {
      const rig = createRig(['v1'])
      await rig.clock.advanceBy(LONG_MS)
      rig.streams.record({ id: 'x', service: SERVICE, softwareVersion: 'v1' })
      rig.versions.push('v2')
      rig.streams.handleServersChanged(SERVICE)
      t.deepEqual(rig.sent.map(({ to, id }) => [to, id]), [['a', 'x'], ['b', 'x']])
    })

    // Guards against a second release whose earlier streams are not announced, because the service was still marked as one of several versions.
    it('includes them each time that a second version appears', async t => {
      const rig = createRig(['v1', 'v2'])
      await rig.clock.advanceBy(LONG_MS)
      rig.streams.handleServersChanged(SERVICE)
      rig.versions = ['v2']
      rig.streams.record({ id: 'x', service: SERVICE, softwareVersion: 'v2' })
      rig.versions = ['v2', 'v3']
      rig.streams.handleServersChanged(SERVICE)
      t.deepEqual(rig.sent.map(({ to, id }) => [to, id]), [['a', 'x'], ['b', 'x']])
    })
  })

  describe('a stream that is taken up', () => {
    it('goes on at the version that one of the asked instances knows', t => {
      const rig = createRig(['v1', 'v2'])
      find(rig, 'x')
      respond(rig, 'a', 'x')
      respond(rig, 'b', 'x', 'v2')
      t.deepEqual(rig.origins, [{ isKnown: true, softwareVersion: 'v2' }])
    })

    it('has no version where several serve and none of the asked instances knows it, however many are silent', async t => {
      const rig = createRig(['v1', 'v2'])
      find(rig, 'x')
      respond(rig, 'a', 'x')
      await rig.clock.advanceBy(200)
      t.deepEqual(rig.origins, [{ isKnown: false, softwareVersion: undefined }])
    })

    // Guards against instances that learn of a second version at different moments.
    it('has no version where another instance knows servers of several', t => {
      const rig = createRig(['v1'])
      find(rig, 'x')
      for (const address of ['a', 'b', 'c']) {
        respond(rig, address, 'x', undefined, address === 'b')
      }
      t.deepEqual(rig.origins, [{ isKnown: false, softwareVersion: undefined }])
    })

    // Guards against a second version that begins to serve between the decision and the choice of a server.
    it('goes on at the only version that serves as of a list that was read since', async t => {
      for (const id of ['x', '']) {
        const rig = createRig(['v1'])
        await rig.clock.advanceBy(LONG_MS)
        rig.hasStore = true
        find(rig, id)
        await rig.clock.advanceBy(70)
        t.deepEqual(rig.origins, [{ isKnown: false, softwareVersion: 'v1' }])
      }
    })

    // Guards against an instance that is cut off, or stood still, and takes the silence of others for one version.
    it('has no version where the others are silent and the list cannot be read', async t => {
      for (const id of ['x', '']) {
        const rig = createRig(['v1'])
        await rig.clock.advanceBy(LONG_MS)
        find(rig, id)
        await rig.clock.advanceBy(200)
        t.deepEqual(rig.origins, [{ isKnown: false, softwareVersion: undefined }])
      }
    })

    // Guards against a stream that goes on as of a list that was read for another stream, before it was taken up.
    it('is not decided by what was read before it was taken up', async t => {
      const rig = createRig(['v1'])
      await rig.clock.advanceBy(LONG_MS)
      rig.hasStore = true
      find(rig, '')
      await rig.clock.advanceBy(40)
      rig.hasStore = false
      find(rig, '')
      await rig.clock.advanceBy(200)
      t.deepEqual(rig.origins.map(({ softwareVersion }) => softwareVersion), ['v1', undefined])
    })

    it('goes on at the only version that serves if another instance knows no more, whether or not its caller names it', async t => {
      for (const id of ['x', '']) {
        const rig = createRig(['v1'])
        await rig.clock.advanceBy(LONG_MS)
        find(rig, id)
        respond(rig, 'a', rig.sent[0]?.id ?? '')
        await rig.clock.advanceBy(200)
        t.deepEqual(rig.origins, [{ isKnown: false, softwareVersion: 'v1' }])
      }
    })

    // Guards against instances that have just started, all of them, and take the versions that serve now for all that served a moment ago.
    it('has no version where nobody knows which versions served a moment ago', async t => {
      const rig = createRig(['v1'])
      find(rig, 'x')
      respond(rig, 'a', 'x', undefined, false, false)
      await rig.clock.advanceBy(200)
      t.deepEqual(rig.origins, [{ isKnown: false, softwareVersion: undefined }])
    })

    // Guards against streams that are refused after all instances were killed, although there is no sign of another version.
    it('goes on at the only version where an instance that has just started has read which versions served', async t => {
      const rig = createRig(['v1'])
      rig.knowsRecentVersions = true
      rig.hasStore = true
      find(rig, 'x')
      await rig.clock.advanceBy(200)
      t.deepEqual(rig.origins, [{ isKnown: false, softwareVersion: 'v1' }])
    })

    it('goes on at the only version after a release if an instance that has run for long knows no other', t => {
      const rig = createRig(['v1'])
      find(rig, 'x')
      for (const address of ['a', 'b', 'c']) {
        respond(rig, address, 'x', undefined, false, address === 'b')
      }
      t.deepEqual(rig.origins, [{ isKnown: false, softwareVersion: 'v1' }])
    })

    it('is asked for once by callers that take it up at the same time', async t => {
      const rig = createRig(['v1', 'v2'])
      find(rig, 'x')
      find(rig, 'x')
      t.is(rig.sent.length, 3)
      respond(rig, 'c', 'x', 'v1')
      t.is(rig.origins.length, 2)
    })

    // Guards against a stream that goes on at a service with the same version text to which its route was moved.
    it('has no version of another service', t => {
      const rig = createRig(['v1', 'v2'])
      rig.streams.record({ id: 'x', service: 'other', softwareVersion: 'v1' })
      find(rig, 'x')
      t.is(rig.origins.length, 0)
    })
  })
})

describe('StreamHolders', () => {
  // Guards against a stream whose version is lost with one failure domain.
  it('are of two other failure domains than the instance that began the stream', t => {
    const holders = StreamHolders.create({ address: 'own', failureDomain: 'd0' })
    const members = Array.from({ length: 30 }, (_, index) => ({ address: `i${index}`, failureDomain: `d${index % 3}` }))
    holders.setMembers(members)
    for (let index = 0; index < 200; index += 1) {
      const domains = holders.of(`stream-${index}`).map(address => members.find(member => member.address === address)?.failureDomain)
      t.deepEqual(domains.sort(), ['d1', 'd2'])
    }
  })

  it('are any two where all instances are of one failure domain', t => {
    const holders = StreamHolders.create({ address: 'own', failureDomain: 'd0' })
    holders.setMembers([{ address: 'a', failureDomain: 'd0' }, { address: 'b', failureDomain: 'd0' }, { address: 'c', failureDomain: '' }])
    t.is(new Set(holders.of('x')).size, 2)
  })
})
