/** Every wait of an exchange for other instances ends, whatever happens to them and to this instance meanwhile. */
import { RetryOrder } from 'foxtaillever-policy/limits/sharedLimitLedger'
import { describe, it } from 'foxtaillever-testing'
import { VirtualClock } from 'foxtaillever-testing/virtualClock'
import type { Clock } from 'foxtaillever-core'
import { createProcessClock } from '../admission/__fixtures__/processClock.js'
import { AdmissionOutcome } from '../admission/admissionMessage.js'
import { AdmissionProtocol, type AdmissionClaim, type AdmissionProtocolOptions } from '../admission/admissionProtocol.js'
import { TrialClient } from '../crashes/trialClient.js'
import { LimitScope } from '../limits/limitMessage.js'
import { LimitProtocol, type LimitProtocolOptions } from '../limits/limitProtocol.js'
import { LoadQueryClient, type LoadQueryClientOptions } from '../peers/loadQueryClient.js'
import { StreamVersions } from '../streams/streamVersions.js'

/** The longest wait that a client account's quota allows, with a stall that extends it twice, milliseconds. */
const MAX_WAIT_MS = 500 + 2 * 1000

const STALL_MS = 700
const CHANGE_MS = 5

const OWN = 'own'

interface Instance {
  readonly clock: Clock
  readonly address: string
  /** The instances that decide, in order; none of them answers. */
  readonly members: () => readonly string[]
}

const limitOf = (scope: LimitScope, maxWaitMs: number) => ({ clock, address, members }: Instance, onEnd: () => void): void => {
  const options = { clock, address, ranking: members, stableSince: () => undefined, instanceCount: () => 3, send: () => {}, onInstanceSeen: () => {}, onDecided: () => {}, onUnresponsive: () => {}, scope, maxWaitMs, retryOrder: RetryOrder.InTurn, tolerance: { overage: 0, slack: 1, windowMs: 1000 } } as unknown as LimitProtocolOptions
  LimitProtocol.create(options).claim({ key: 'k', cost: 1, limit: { perSecond: 1, burst: 1, revision: 1 } }, onEnd)
}

const claim: AdmissionClaim = { server: 1, tokens: 1, heldTokens: 1, priority: 1, account: '', fingerprint: 1, arrivedAt: 0, objectiveMs: 1000, latestStartAt: Infinity, isBrittle: true }

const waits: Readonly<Record<string, (instance: Instance, onEnd: () => void) => void>> = {
  'a quota': limitOf(LimitScope.Account, 500),
  'the limit of a server': limitOf(LimitScope.Server, 100),
  'a load query': ({ clock, address, members }, onEnd) => {
    const client = LoadQueryClient.create({ clock, address, watchersOf: members, send: () => {}, answerLocally: () => ({ loads: [], unreachable: [], saved: [], backingOff: [] }), isOwnDataComplete: () => false, onReport: () => {}, onUnresponsive: () => {} } as unknown as LoadQueryClientOptions)
    client.query({ servers: [1] }).then(onEnd, () => {})
  },
  'a trial': ({ clock, address, members }, onEnd) => TrialClient.create({ clock, address: () => address, decidersOf: members, send: () => {} }).ask('s', ['l'], onEnd),
  'the version of a stream': ({ clock, address, members }, onEnd) => {
    const versions = StreamVersions.create({ clock, address: () => address, holdersOf: members, askedFor: members, versionsOf: () => ['v1', 'v2'], knowsRecentVersions: () => false, listKnownAt: () => -Infinity, refreshList: () => {}, send: () => {} })
    versions.find('s', 'id', onEnd)
  },
  admission: ({ clock, address, members }, onEnd) => {
    const options = { clock, address, watchersOf: members, isComplete: () => false, roomOf: () => undefined, loadOf: () => ({ outstanding: 0, tokens: 0, heldTokens: 0 }), send: () => {}, onDecided: () => {}, onUnresponsive: () => {} } as unknown as AdmissionProtocolOptions
    AdmissionProtocol.create(options).request(claim, ({ outcome }) => { outcome === AdmissionOutcome.NotOwner && onEnd() })
  }
}

const changes: Readonly<Record<string, readonly string[]>> = { 'the members stay': ['a', 'b', 'c'], 'the members leave': [], 'others take over': ['d', 'e'], 'this instance takes over': [OWN] }

describe('a wait for other instances that do not answer', () => {
  // Guards against a request that gets neither an answer nor a refusal until its deadline.
  for (const [name, begin] of Object.entries(waits)) {
    for (const [change, after] of Object.entries(changes)) {
      for (const stallMs of [0, STALL_MS]) {
        it(`ends once: ${name}, ${change}, ${stallMs} ms of stall`, async t => {
          const time = VirtualClock.create()
          const process = { clockOffsetMs: 0, generation: 0, isFrozen: false, inbox: [] as Array<() => void> }
          let members: readonly string[] = ['a', 'b', 'c']
          let ends = 0
          begin({ clock: createProcessClock(time, process), address: OWN, members: () => members }, () => { ends += 1 })
          await time.advanceBy(CHANGE_MS)
          members = after
          process.isFrozen = stallMs > 0
          await time.advanceBy(stallMs)
          process.isFrozen = false
          process.inbox.splice(0).forEach(task => task())
          await time.advanceBy(MAX_WAIT_MS)
          t.is(ends, 1)
        })
      }
    }
  }
})
