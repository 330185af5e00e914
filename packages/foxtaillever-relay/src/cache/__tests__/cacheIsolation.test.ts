import { SeededRandom, type Random } from 'foxtaillever-core'
import { PartCache, type CachedPart } from 'foxtaillever-standins'
import { describe, it } from 'foxtaillever-testing'
import { cacheSaltOf } from '../../attempts/planTerms.js'
import type { RelayAccount } from '../../model/routing.js'
import { CacheIsolation } from '../cacheIsolation.js'

const MODEL = 'model'
const WEIGHTS = 1
const NAMES = ['a', 'b', 'c', 'd']
const LEVELS = ['l0', 'l1']
const HISTORIES = 300
const STEPS = 200
const INSTANCES = 3

/** Share of the steps at which the configuration changes, and at which an instance applies the newest one. */
const CHANGE_SHARE = 0.05
const APPLY_SHARE = 0.1

function createAccount (name: string, isIsolated: boolean): RelayAccount {
  return { name, apiKeys: [], priority: undefined, isIsolated, quota: undefined }
}

function keyWith (isolated: readonly string[], account: RelayAccount | undefined): string {
  return CacheIsolation.create(isolated.map(name => createAccount(name, true))).keyOf(account)
}

/** A configuration with some of the accounts, some of them isolated. */
function drawAccounts (random: Random): RelayAccount[] {
  return NAMES.filter(() => random.next() < 0.8).map(name => createAccount(name, random.next() < 0.3))
}

function pick<T> (random: Random, items: readonly T[]): T {
  return items[Math.floor(random.next() * items.length)] as T
}

interface History {
  /** Levels used across accounts. */
  readonly foreignUses: number
  /** Those where one of the two accounts is isolated in the configuration of the instance that sent the request. */
  readonly brokenUses: number
}

/** Instances apply revisions late or pass them over, and send requests to engines that share a store. */
function runHistory (random: Random): History {
  const engines = [PartCache.create(), PartCache.create()]
  const store = PartCache.create()
  let newest = drawAccounts(random)
  const instances = Array.from({ length: INSTANCES }, () => newest)
  let foreignUses = 0
  let brokenUses = 0
  for (let step = 0; step < STEPS; step += 1) {
    newest = random.next() < CHANGE_SHARE ? drawAccounts(random) : newest
    const instance = Math.floor(random.next() * INSTANCES)
    if (random.next() < APPLY_SHARE) {
      instances[instance] = newest
    }
    const accounts = instances[instance] ?? []
    const account = accounts.length === 0 ? undefined : pick(random, accounts)
    const salt = cacheSaltOf({ account }, { cacheIsolation: CacheIsolation.create(accounts) }, WEIGHTS)
    const engine = pick(random, engines)
    const parts = [{ id: pick(random, LEVELS), tokens: 1 }]
    engine.add(store.match(salt, MODEL, parts))
    const isolated = new Set(accounts.filter(({ isIsolated }) => isIsolated).map(({ name }) => name))
    const makers = engine.match(salt, MODEL, parts).map(({ origin }) => origin.account).filter(maker => maker !== account?.name)
    foreignUses += makers.length
    brokenUses += makers.filter(maker => isolated.has(maker) || isolated.has(account?.name ?? '')).length
    const read: CachedPart[] = parts.map(part => ({ ...part, salt, model: MODEL, origin: { account: account?.name ?? '', weightsVersion: WEIGHTS } }))
    engine.add(read)
    store.add(read)
  }
  return { foreignUses, brokenUses }
}

describe('cache isolation', () => {
  // Guards against levels of an account that becomes isolated which stay in reach of others, at instances that apply
  // configurations at different times or pass some over, and through the store of cached levels.
  it('never lets a request use a level across accounts if one of them is isolated, in drawn histories', t => {
    const random = SeededRandom.create(1)
    const histories = Array.from({ length: HISTORIES }, () => runHistory(random))
    const sum = (of: (history: History) => number): number => histories.reduce((total, history) => total + of(history), 0)
    t.log('uses across accounts', sum(({ foreignUses }) => foreignUses))
    t.true(sum(({ foreignUses }) => foreignUses) > 0)
    t.is(sum(({ brokenUses }) => brokenUses), 0)
  })

  // Guards against instances that split the cache, because they compute the key from what they saw earlier or in another order.
  it('gives all instances the same key for the same set of isolated accounts', t => {
    const account = createAccount('shared', false)
    t.is(keyWith(['a', 'b'], account), keyWith(['b', 'a'], account))
    t.is(keyWith(['a', 'b'], account), keyWith(['a', 'b'], undefined))
    t.is(new Set([[], ['a'], ['b'], ['a', 'b'], ['a,b'], ['a","b']].map(isolated => keyWith(isolated, account))).size, 6)
  })

  // Guards against a request that is sent again after its account became isolated and uses the levels of others, or that
  // arrived while its account was isolated and leaves levels to others.
  it('keeps a request on its own levels if its account is or was isolated', t => {
    t.is(keyWith(['a'], createAccount('a', false)), keyWith(['a'], createAccount('a', true)))
    t.is(keyWith([], createAccount('a', true)), keyWith(['a'], createAccount('a', true)))
    t.not(keyWith(['a'], createAccount('a', true)), keyWith(['a', 'b'], createAccount('b', true)))
  })

  // Guards against a fleet that loses its cache at an update although no account is isolated.
  it('keeps the key of earlier releases while no account is isolated', t => {
    t.is(keyWith([], createAccount('a', false)), 'shared')
  })
})
