/** Checks of a soak on what servers recorded: the requests they ran, the cached levels they used and the orders they accepted. */
import { allowedInWindow, ENFORCED_AFTER_MS, countWindows, WINDOW_MS } from 'foxtaillever-platform/__fixtures__/requestWindows'
import { leavingViolations, backoffViolations, type SentRequest } from 'foxtaillever-platform/__fixtures__/statementOracle'
import type { AcceptedOrder } from 'foxtaillever-standins'
import type { Disturbances } from './disturbances.js'
import { SHORT_BOUNDS, type SoakFleet } from './soakFleet.js'
import { ISOLATED_ACCOUNT } from './soakOperator.js'

/** How long new work may still reach a server after it began to leave, milliseconds. */
const MAX_DRAIN_DELAY_MS = 2000

export function serverViolations (fleet: SoakFleet, disturbances: Disturbances): string[] {
  return [...drainViolations(fleet, disturbances), ...cacheViolations(fleet), ...orderViolations(fleet)]
}

/**
 * Servers that got more requests in a time window than they stated they accept. Instances that
 * have just started don't know the statement yet, so windows near an outage are left out.
 */
export function limitViolations ({ operator }: Pick<SoakFleet, 'operator'>, outages: Disturbances): string[] {
  return operator.rates.flatMap(({ server, perSecond, from, until }) => {
    const maxCount = allowedInWindow(perSecond)
    const times = server.arrivals
      .filter(({ at, statedLimit }) => statedLimit === String(perSecond) && at >= from + ENFORCED_AFTER_MS && at <= until)
      .map(({ at }) => at)
    return countWindows(times)
      .filter(({ from: at, count }) => count > maxCount && outages.wasUndisturbed(at - ENFORCED_AFTER_MS, at + WINDOW_MS))
      .map(({ from: at, count }) => `${server.id} got ${count} requests in ${WINDOW_MS} ms, starting ${at - from} ms after it stated a limit of ${perSecond} a second`)
  })
}

/** Requests that reached servers against their statements. A start or suspension of the sending instance excuses them; for a backoff, a cut connection does too. */
export function statementViolations ({ platform, instances }: Pick<SoakFleet, 'platform' | 'instances'>, sent: readonly SentRequest[], outages: Disturbances, cuts: Disturbances): string[] {
  const wasUndisturbed = (instance: number, from: number, until: number): boolean => outages.wasUndisturbed(from, until, instances[instance]?.address)
  return platform.servers.flatMap(server => [
    ...leavingViolations(server, sent, wasUndisturbed),
    ...backoffViolations(server, sent, (instance, from, until) => wasUndisturbed(instance, from, until) && cuts.wasUndisturbed(from, until))
  ])
}

/** Work that reached a server long after every instance could know that the server was leaving. */
function drainViolations ({ operator }: SoakFleet, disturbances: Disturbances): string[] {
  return operator.drains.flatMap(({ server, id, at }) => server.arrivals
    .filter(arrival => arrival.hasRun && arrival.at > at + MAX_DRAIN_DELAY_MS && server.id === id && disturbances.wasUndisturbed(at, arrival.at))
    .map(({ requestId, at: arrivedAt }) => `${requestId} ran at ${id} ${arrivedAt - at} ms after it began to leave`))
}

/** Uses of cached levels that were made under other weights, or across the cache isolation of an account. */
function cacheViolations ({ platform }: SoakFleet): string[] {
  return platform.partUses().flatMap(({ requestId, account, weightsVersion, part: { id, origin: maker } }) => {
    const isStale = maker.weightsVersion !== weightsVersion
    const isForeign = maker.account !== account && [maker.account, account].includes(ISOLATED_ACCOUNT)
    return [
      ...(isStale ? [`${requestId} built on level ${id} of weights ${maker.weightsVersion} under weights ${weightsVersion}`] : []),
      ...(isForeign ? [`${requestId} of ${account} built on level ${id} of ${maker.account}`] : [])
    ]
  })
}

/** Orders of two holders under one fencing number, or of a holder whose lease had passed to another. */
function orderViolations ({ platform }: SoakFleet): string[] {
  const acceptedOrders = platform.acceptedOrders().sort((a, b) => a.at - b.at)
  const holders = new Map<number, string>()
  let highest: AcceptedOrder | undefined
  return acceptedOrders.flatMap(order => {
    const { holder, fence } = order
    const firstHolder = holders.get(fence) ?? holder
    holders.set(fence, firstHolder)
    const previousHighest = highest
    highest = previousHighest === undefined || fence > previousHighest.fence ? order : previousHighest
    return [
      ...(firstHolder === holder ? [] : [`${holder} and ${firstHolder} both ordered under fence ${fence}`]),
      ...(previousHighest !== undefined && fence < previousHighest.fence ? [`${holder} ordered under fence ${fence} after ${previousHighest.holder} under ${previousHighest.fence}`] : [])
    ]
  })
}

/** Callers of cut instances must be served from this long after the cut began, milliseconds. */
const SERVED_AFTER_MS = 3000

/** They must be served at least this often, as a share of how often the others are, unless only a few fail. */
const MIN_RELATIVE_SHARE = 2 / 3
const FEW_FAILURES = 10

/** Cuts of links during which callers of the cut instances were served far worse than the others. */
export function linkCutViolations ({ operator, instances }: Pick<SoakFleet, 'operator' | 'instances'>, replies: ReadonlyArray<{ readonly instance: number, readonly at: number, readonly isServed: boolean }>, outages: Disturbances): string[] {
  return operator.linkCuts.flatMap(({ instances: cut, from, until }) => {
    const isDisturbed = cut.length === instances.length || !outages.wasUndisturbed(from, until) || operator.linkCuts.some(other => other.from !== from && other.from < until && other.until > from)
    const during = replies.filter(({ at }) => at >= from + SERVED_AFTER_MS && at <= until)
    const [atCut, atOthers] = [during.filter(({ instance }) => cut.includes(instance)), during.filter(({ instance }) => !cut.includes(instance))]
    const failed = atCut.filter(({ isServed }) => !isServed).length
    return !isDisturbed && failed > FEW_FAILURES + during.length / 50 && shareServed(atCut) < MIN_RELATIVE_SHARE * shareServed(atOthers)
      ? [`${failed} of ${atCut.length} requests failed at instances ${cut.join(', ')}, whose links were cut for ${Math.round(until - from)} ms`]
      : []
  })
}

function shareServed (replies: ReadonlyArray<{ readonly isServed: boolean }>): number {
  return replies.filter(({ isServed }) => isServed).length / Math.max(1, replies.length)
}

/** Instances that have just started don't know for this long which servers are brittle, milliseconds. */
const BRITTLE_LEARNED_MS = 3000

/** Failures of brittle servers. One while an instance started, was suspended or cut off is excused. */
export function brittleViolations ({ platform }: Pick<SoakFleet, 'platform'>, outages: Disturbances, cuts: Disturbances): string[] {
  return platform.servers.flatMap(server => server.falls
    .filter(at => outages.wasUndisturbed(at - BRITTLE_LEARNED_MS, at) && cuts.wasUndisturbed(at - BRITTLE_LEARNED_MS, at))
    .map(at => `${server.id} failed because it had to reject too many requests, at ${Math.round(at)}`))
}

/** Bounds of the retry budget, as in the instances' settings. */
const { retry_budget_ratio: RETRY_RATIO, retry_budget_slack: RETRY_SLACK, budget_window_s: BUDGET_WINDOW_S } = SHORT_BOUNDS

/**
 * Windows in which a service got more retries from all instances than the budget allows.
 * @param requestTimes when callers sent requests for each service, by the beginning of its servers' names.
 */
export function retryViolations ({ platform }: Pick<SoakFleet, 'platform'>, requestTimes: Readonly<Record<string, readonly number[]>>): string[] {
  const windowMs = BUDGET_WINDOW_S * 1000
  return Object.entries(requestTimes).flatMap(([service, requests]) => {
    const arrivals = platform.servers.filter(({ options }) => options.name.startsWith(service)).flatMap(server => server.arrivals).filter(({ requestId }) => requestId !== '').sort((a, b) => a.at - b.at)
    const first = new Set<string>()
    const retries = arrivals.filter(({ requestId }) => first.size === first.add(requestId).size).map(({ at }) => at)
    const countFrom = (times: readonly number[], from: number): number => times.filter(at => at >= from && at < from + windowMs).length
    return retries.flatMap(from => {
      const allowed = RETRY_RATIO * Math.max(...[0, windowMs / 2, windowMs].map(shift => countFrom(requests, from - shift))) + RETRY_SLACK
      const count = countFrom(retries, from)
      return count > allowed ? [`${service}: ${count} retries in ${windowMs} ms, ${allowed} allowed`] : []
    })
  })
}
