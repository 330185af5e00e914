import { describe, it } from 'foxtaillever-testing'
import { addAll, admitAll, entryOf, fullRoom, idleRoom, keysOf, rejectedKeys } from '../__fixtures__/admission.js'
import { AdmissionQueue } from '../admissionQueue.js'
import { isNearlyIdle, type ServerRoom } from '../serverRoom.js'
import { BacklogEstimate } from '../backlogEstimate.js'

function numbered (prefix: string, count: number, account = prefix): ReturnType<typeof entryOf>[] {
  return Array.from({ length: count }, (_, index) => entryOf(`${prefix}${index}`, { account, fingerprint: index }))
}

describe('the order of an admission queue', () => {
  // A short urgent prompt waits behind the large ones that came before it.
  it('is by rank, then by arrival', t => {
    const queue = AdmissionQueue.create()
    addAll(queue, [entryOf('a', { priority: 5 }), entryOf('b', { priority: 2 }), entryOf('c'), entryOf('d', { priority: 2 }), entryOf('e')])
    t.deepEqual(admitAll(queue), ['c', 'e', 'b', 'd', 'a'])
  })

  // A small less urgent request takes the memory for which an urgent one waits.
  it('is kept when a less urgent request would fit and the next one does not', t => {
    const queue = AdmissionQueue.create()
    addAll(queue, [entryOf('small', { priority: 1, heldTokens: 10 }), entryOf('large', { heldTokens: 5000 })])
    const room = { ...idleRoom, outstanding: 1, heldTokens: 1000, memoryTokens: 5500 }
    t.deepEqual(queue.decide(room, 0).admitted, [])
    t.deepEqual(keysOf(queue.decide({ ...room, outstanding: 0, heldTokens: 0 }, 0).admitted), ['large'])
  })

  // In an overload every request is served when it is just late.
  it('puts requests that can no longer be on time behind those that can', t => {
    const queue = AdmissionQueue.create()
    addAll(queue, [entryOf('late', { objectiveAt: 199 }), entryOf('timely', { objectiveAt: 200 }), entryOf('lessUrgent', { priority: 4 }), entryOf('least', { priority: 9 })])
    queue.decide(fullRoom, 0)
    t.deepEqual(admitAll(queue), ['timely', 'lessUrgent', 'late', 'least'])
  })

  // The tokens of requests moved back would count twice, or for the ranks that they have left.
  it('counts queued tokens by rank', t => {
    const queue = AdmissionQueue.create()
    addAll(queue, [entryOf('late', { objectiveAt: 0 }), entryOf('timely'), entryOf('other', { priority: 3 })])
    t.deepEqual([0, 3, 9].map(priority => queue.queuedTokens(priority)), [2000, 3000, 3000])
    queue.decide(fullRoom, 0)
    t.deepEqual([0, 4, 5].map(priority => queue.queuedTokens(priority)), [1000, 2000, 3000])
    queue.remove('late')
    t.is(queue.queuedTokens(9), 2000)
  })

  // Priorities arrive in datagrams: one out of range would stop the owner.
  it('takes any priority', t => {
    const queue = AdmissionQueue.create()
    addAll(queue, [entryOf('a', { priority: 99 }), entryOf('b', { priority: 1.4, objectiveAt: 0 }), entryOf('c', { priority: -3, objectiveAt: 0 })])
    queue.decide(fullRoom, 0)
    t.deepEqual(admitAll(queue), ['c', 'b', 'a'])
  })
})

describe('a rejection', () => {
  // A caller that learns near its deadline that it is rejected can no longer try elsewhere.
  it('is given at the first moment at which a request cannot begin in time', t => {
    const queue = AdmissionQueue.create()
    addAll(queue, [entryOf('first'), entryOf('second', { latestStartAt: 200 })])
    t.deepEqual(queue.decide(fullRoom, 0).rejected, [])
    t.deepEqual(rejectedKeys(queue.decide(fullRoom, 1)), ['second'])
    t.false(queue.has('second'))
  })

  // The requests behind it, or less urgent ones, do not delay it: counting them rejects what could be served.
  it('counts only what is before the request', t => {
    const queue = AdmissionQueue.create()
    addAll(queue, [entryOf('a', { latestStartAt: 100 }), entryOf('b'), entryOf('c'), entryOf('d', { priority: 1 })])
    t.deepEqual(queue.decide(fullRoom, 0).rejected, [])
    addAll(queue, [entryOf('e', { priority: 1, latestStartAt: 499 })])
    t.deepEqual(rejectedKeys(queue.decide(fullRoom, 0)), ['e'])
  })

  // Rejected requests free their turn at once; counting them rejects all others with them.
  it('does not count requests that are rejected with it', t => {
    const queue = AdmissionQueue.create()
    addAll(queue, [entryOf('a', { latestStartAt: 99 }), entryOf('b', { latestStartAt: 100 }), entryOf('c', { latestStartAt: 199 }), entryOf('d', { latestStartAt: 200 })])
    t.deepEqual(rejectedKeys(queue.decide(fullRoom, 0)), ['a', 'c'])
  })

  // All callers return at the same moment, when the requests behind them are still waiting, or as fast as the server reads.
  it('names retry times after the queue of the rank, with room for new requests between them', t => {
    const queue = AdmissionQueue.create()
    addAll(queue, [entryOf('a', { latestStartAt: 0 }), entryOf('b', { latestStartAt: 0, tokens: 3000 }), entryOf('c'), entryOf('d')])
    t.deepEqual(queue.decide(fullRoom, 0).rejected.map(({ retryAt }) => retryAt), [300, 500])
    addAll(queue, [entryOf('e', { latestStartAt: 0 })])
    t.deepEqual(queue.decide(fullRoom, 10).rejected.map(({ retryAt }) => retryAt), [1100])
  })

  // Guards against urgent callers that get a later retry time than less urgent ones that were rejected before.
  it('does not delay the retry of an urgent request for less urgent ones', t => {
    const queue = AdmissionQueue.create()
    addAll(queue, [entryOf('a', { priority: 2, latestStartAt: 0, tokens: 50_000 }), entryOf('b', { priority: 2, latestStartAt: 0 })])
    queue.decide(fullRoom, 0)
    addAll(queue, [entryOf('urgent', { latestStartAt: 0 })])
    t.is(queue.decide(fullRoom, 10).rejected[0]?.retryAt, 110)
  })

  // At the time given, the caller that obeyed it must be admitted.
  it('names a time at which there is room', t => {
    const queue = AdmissionQueue.create()
    addAll(queue, [...numbered('n', 5), entryOf('returning', { latestStartAt: 0 })])
    const retryAt = queue.decide(fullRoom, 0).rejected[0]?.retryAt ?? 0
    // The server reads 100 ms a request, without a pause.
    let admittedAt = Array.from({ length: retryAt / 100 }, (_, step) => queue.decide(idleRoom, 100 * step).admitted).flat().length
    queue.add(entryOf('returning', { latestStartAt: retryAt + 100 }), retryAt)
    admittedAt += queue.decide(idleRoom, retryAt).admitted.length
    t.is(admittedAt, 6)
  })

  // Guards against new callers that take the room for which a rejected one waits until its retry time.
  it('lets the retry go before new requests of its rank', t => {
    const queue = AdmissionQueue.create()
    addAll(queue, [...numbered('old', 3, ''), entryOf('returning', { latestStartAt: 0, fingerprint: 77 })])
    queue.decide(fullRoom, 0)
    addAll(queue, [entryOf('new'), entryOf('other'), entryOf('retry', { fingerprint: 77 }), entryOf('second', { fingerprint: 77 })], 300)
    t.deepEqual(admitAll(queue, 300), ['retry', 'old0', 'old1', 'old2', 'new', 'other', 'second'])
  })

  // Callers with the latest retry times have waited longest; if each passed those before it, the first would wait longest.
  it('keeps the order of retries', t => {
    const queue = AdmissionQueue.create()
    addAll(queue, [1, 2, 3].map(fingerprint => entryOf(`first${fingerprint}`, { latestStartAt: 0, fingerprint })))
    queue.decide(fullRoom, 0)
    addAll(queue, [entryOf('new'), ...[1, 2, 3].map(fingerprint => entryOf(`retry${fingerprint}`, { fingerprint }))], 100)
    t.deepEqual(admitAll(queue, 100), ['retry1', 'retry2', 'retry3', 'new'])
  })

  // A request that was moved back before it was rejected would return to that rank.
  it('lets the retry of a request that was moved back go before new ones', t => {
    const queue = AdmissionQueue.create()
    addAll(queue, [entryOf('a'), entryOf('returning', { objectiveAt: 0, latestStartAt: 200, fingerprint: 77 })])
    queue.decide(fullRoom, 0)
    t.deepEqual(rejectedKeys(queue.decide(fullRoom, 150)), ['returning'])
    addAll(queue, [entryOf('new'), entryOf('retry', { fingerprint: 77 })], 200)
    t.deepEqual(admitAll(queue, 200), ['retry', 'a', 'new'])
  })

  // A place that is kept for ever would let a later request with the same level pass others.
  it('is forgotten after five seconds', t => {
    const queue = AdmissionQueue.create()
    addAll(queue, [entryOf('returning', { latestStartAt: 0, fingerprint: 77 })])
    queue.decide(fullRoom, 0)
    addAll(queue, [entryOf('new'), entryOf('retry', { fingerprint: 77 })], 5000)
    t.deepEqual(admitAll(queue, 5000), ['new', 'retry'])
  })
})

describe('an entry of an admission queue', () => {
  // A requester that has crashed keeps its turn, and the server is idle while it is asked.
  it('is removed when its requester does not renew it', t => {
    const queue = AdmissionQueue.create()
    addAll(queue, [entryOf('gone', { expiresAt: 600 }), entryOf('renewed', { expiresAt: 600 })])
    addAll(queue, [entryOf('renewed', { expiresAt: 850 })], 250)
    t.is(queue.nextDecisionAt(fullRoom, 250), 260)
    t.is(queue.nextDecisionAt({ ...fullRoom, backlogTokens: 90_000 }, 250), 600)
    queue.decide(fullRoom, 600)
    t.deepEqual([queue.has('gone'), queue.has('renewed')], [false, true])
    queue.decide(fullRoom, 850)
    t.is(queue.size, 0)
    t.is(queue.nextDecisionAt(fullRoom, 850), Infinity)
  })

  // A renewal that is counted as another request doubles the queue.
  it('is the same after a renewal', t => {
    const queue = AdmissionQueue.create()
    addAll(queue, [entryOf('a'), entryOf('b'), entryOf('a')])
    t.deepEqual([queue.size, queue.queuedTokens(0)], [2, 2000])
    t.deepEqual(admitAll(queue), ['a', 'b'])
  })

  it('can be removed, known or not', t => {
    const queue = AdmissionQueue.create()
    addAll(queue, [entryOf('a'), entryOf('b')])
    queue.remove('a')
    queue.remove('a')
    queue.remove('unknown')
    t.deepEqual(admitAll(queue), ['b'])
  })
})

describe('the room of a server', () => {
  // An admission above the read-ahead waits at the engine, where no urgent request can pass it.
  it('ends with the read-ahead', t => {
    const queue = AdmissionQueue.create()
    addAll(queue, numbered('n', 9, '').map(entry => ({ ...entry, tokens: 600 })))
    t.is(queue.decide(idleRoom, 0).admitted.length, 2)
    t.is(queue.decide({ ...idleRoom, backlogTokens: 999 }, 0).admitted.length, 1)
    t.is(queue.decide({ ...idleRoom, backlogTokens: 1000 }, 0).admitted.length, 0)
  })

  // Short urgent prompts wait here while the engine would read them between the pieces of a large one.
  it('ends with the slots for prompts that are read in less than half of the read-ahead', t => {
    const queue = AdmissionQueue.create()
    addAll(queue, numbered('n', 9, '').map(entry => ({ ...entry, tokens: 499 })))
    t.is(queue.decide({ ...idleRoom, backlogTokens: 5000, slots: 4 }, 0).admitted.length, 4)
    const large = AdmissionQueue.create()
    addAll(large, numbered('n', 9, '').map(entry => ({ ...entry, tokens: 500 })))
    t.is(large.decide({ ...idleRoom, backlogTokens: 5000, slots: 4 }, 0).admitted.length, 0)
  })

  // An engine without memory preempts requests and reads them twice.
  it('ends with its memory and its slots', t => {
    const queue = AdmissionQueue.create()
    addAll(queue, numbered('n', 9, '').map(entry => ({ ...entry, tokens: 10 })))
    t.is(queue.decide({ ...idleRoom, memoryTokens: 2500 }, 0).admitted.length, 2)
    t.is(queue.decide({ ...idleRoom, outstanding: 31 }, 0).admitted.length, 1)
    t.is(queue.decide({ ...idleRoom, outstanding: 32 }, 0).admitted.length, 0)
  })

  // A request larger than the stated memory waits for ever, and all behind it.
  it('admits any request at an empty server', t => {
    const queue = AdmissionQueue.create()
    addAll(queue, [entryOf('huge', { heldTokens: 9000 })])
    t.is(queue.decide({ ...idleRoom, memoryTokens: 2500 }, 0).admitted.length, 1)
  })

  // A queue of some entries is decided a hundred times a second while a report is needed anyway.
  it('is looked at again when the server has read enough, when a request expires, or when it may be too late', t => {
    const queue = AdmissionQueue.create()
    addAll(queue, [entryOf('a')])
    t.is(queue.nextDecisionAt({ ...idleRoom, backlogTokens: 5000 }, 0), 400)
    t.is(queue.nextDecisionAt({ ...idleRoom, outstanding: 32 }, 0), Infinity)
    addAll(queue, [entryOf('b', { latestStartAt: 700 })])
    t.is(queue.nextDecisionAt({ ...idleRoom, backlogTokens: 5000 }, 0), 100)
    t.is(queue.nextDecisionAt({ ...idleRoom, outstanding: 32 }, 0), 600)
    t.deepEqual(queue.decide({ ...idleRoom, outstanding: 32 }, 600).rejected, [])
    t.deepEqual(rejectedKeys(queue.decide({ ...idleRoom, outstanding: 32 }, 601)), ['b'])
  })

  // A server that has stopped is filled to its slots, and its requests are lost with it.
  it('is at most four times the read-ahead and one request at a server that has stopped', t => {
    const queue = AdmissionQueue.create()
    const backlog = BacklogEstimate.create()
    addAll(queue, numbered('n', 40, '').map(entry => ({ ...entry, tokens: 600 })))
    let sent = 0
    for (let now = 0; now < 20_000; now += 10) {
      const { admitted } = queue.decide({ ...idleRoom, backlogTokens: backlog.tokensAt(10, now) }, now)
      sent += admitted.reduce((tokens, entry) => tokens + entry.tokens, 0)
      backlog.record(sent, now)
    }
    t.true(sent > 0 && sent <= 4 * 1000 + 600, `${sent}`)
  })

  // The owner is asked for each request of an idle fleet.
  it('needs no decision when the server is nearly idle', t => {
    const room: ServerRoom = { ...idleRoom, memoryTokens: 4000 }
    t.true(isNearlyIdle(room, 1000))
    t.false(isNearlyIdle(room, 2001))
    t.false(isNearlyIdle({ ...room, backlogTokens: 500 }, 1000))
    t.false(isNearlyIdle({ ...room, outstanding: 16 }, 1000))
  })
})

describe('client accounts in an admission queue', () => {
  // An account that sends seven times its usual load takes the room of all others.
  it('wait only behind their own requests when one floods', t => {
    const queue = AdmissionQueue.create()
    addAll(queue, [...numbered('flood', 30), ...numbered('usual', 3)])
    const order = admitAll(queue)
    t.deepEqual(order.slice(0, 6), ['flood0', 'usual0', 'flood1', 'usual1', 'flood2', 'usual2'])
  })

  // Requests of a flood that are rejected return at once, free of charge, and go before those of all others.
  it('are charged for retries', t => {
    const queue = AdmissionQueue.create()
    addAll(queue, numbered('flood', 30).map(entry => ({ ...entry, latestStartAt: 300 })))
    t.is(queue.decide(fullRoom, 0).rejected.length, 27)
    addAll(queue, [...numbered('retry', 30, 'flood'), ...numbered('usual', 3)], 300)
    const order = admitAll(queue, 300)
    t.true(order.indexOf('usual2') <= 8, `${order}`)
  })

  // With many accounts a retry would have no advantage: all have the same turn, and the others arrived before it.
  it('go first with a retry if they were not served more than others', t => {
    const queue = AdmissionQueue.create()
    addAll(queue, [entryOf('rejected', { account: 'a', fingerprint: 77, latestStartAt: 0 })])
    queue.decide(fullRoom, 0)
    addAll(queue, [entryOf('b', { account: 'b' }), entryOf('c', { account: 'c' }), entryOf('retry', { account: 'a', fingerprint: 77 }), entryOf('a', { account: 'a' })], 100)
    t.deepEqual(admitAll(queue, 100), ['retry', 'b', 'c', 'a'])
  })

  // An account that was idle for an hour has saved up turns and blocks all others.
  it('have no credit for idle time', t => {
    const queue = AdmissionQueue.create()
    addAll(queue, numbered('busy', 20))
    admitAll(queue)
    addAll(queue, [...numbered('next', 4, 'busy'), ...numbered('idle', 4)])
    t.deepEqual(admitAll(queue).slice(0, 4).filter(key => key.startsWith('idle')).length, 2)
  })

  // A reserved share leaves the server idle while its owner sends nothing.
  it('get unused shares at once', t => {
    const queue = AdmissionQueue.create()
    addAll(queue, numbered('only', 20))
    t.is(admitAll(queue).length, 20)
  })

  // The smallest account waits behind each round of all others; it must have its turn in every round.
  it('all get a turn, the smallest among sixteen too', t => {
    const queue = AdmissionQueue.create()
    const sizes = Array.from({ length: 15 }, (_, index) => 5 + 10 * index)
    sizes.forEach((size, index) => addAll(queue, numbered(`large${index}-`, size)))
    addAll(queue, numbered('smallest', 4))
    const last = admitAll(queue).indexOf('smallest3')
    t.true(last < 4 * 16, `${last}`)
  })

  // An account that floods every server makes all look equally busy, so that the others are not sent where they wait least.
  it('see only the tokens before their next request', t => {
    const queue = AdmissionQueue.create()
    addAll(queue, [...numbered('flood', 10), ...numbered('usual', 1), entryOf('urgent', { account: 'other', priority: 0 }), entryOf('lessUrgent', { priority: 1 })])
    t.deepEqual(['flood', 'usual', 'new'].map(account => queue.queuedTokens(0, account)), [12_000, 4000, 3000])
    t.is(queue.queuedTokens(0), 12_000)
    t.is(queue.queuedTokens(1, 'new'), 13_000)
  })

  // Large prompts count as one turn, so that an account with large prompts takes most of the server.
  it('share tokens, not requests', t => {
    const queue = AdmissionQueue.create()
    addAll(queue, [...numbered('large', 10).map(entry => ({ ...entry, tokens: 4000 })), ...numbered('short', 40)])
    const order = admitAll(queue).slice(0, 20)
    t.is(order.filter(key => key.startsWith('large')).length, 4)
  })
})
