/** Creates requests as the core handles them, without HTTP. */
import type { Exchange } from '../model/exchange.js'
import { Repeatability } from '../model/routing.js'

/** A request for an engine that arrives at the given time. */
export function createExchange (now: number, overrides: Partial<Exchange> = {}): Exchange {
  return {
    id: 'request',
    method: 'POST',
    path: '/',
    host: 'host',
    headers: [],
    apiKey: undefined,
    patienceMs: undefined,
    prompt: { model: 'model', levels: [], promptTokens: 100, outputTokens: 10 },
    resumeAfter: '',
    resumedId: '',
    route: {
      name: 'route', host: 'host', pathPrefix: '/', targets: [], repeatability: Repeatability.Once, isStream: true, isResumable: false, hasPrompt: true, isPublic: false, timeoutMs: 5000, objectiveMs: 400, pauseObjectiveMs: 0, mostAttempts: 1, awaitsAdmission: false, silenceLimitMs: Infinity, priority: 1
    },
    service: 'engines',
    account: undefined,
    body: Buffer.alloc(0),
    arrivedAt: now,
    callerDeadline: now + 5000,
    deadline: now + 5000,
    ...overrides
  }
}
