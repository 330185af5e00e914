/** The project's own entry process with small limits, before stand-ins of engines and of the platform. */
import { CallerHeader, EnginePath, SystemClock } from 'foxtaillever-core'
import { apiKeysByAccount, SoakDeployment } from '../soak/soakDeployment.js'
import { request } from 'undici'
import type { LimitedProcess } from './limitedProcess.js'
import type { RequestText } from './requestTexts.js'

export const MAX_BODY_BYTES = 1_000_000

/** Small enough that a small crowd exceeds them. */
const MEMORY_MB = 224
const HEAP_MB = 64
const DESCRIPTORS = 600

const BYTES_PER_MEGABYTE = 1_048_576

/** How long a request may take, milliseconds. */
const PATIENCE_MS = 10_000

const HEADERS = { 'content-type': 'application/json', [CallerHeader.Authorization]: `Bearer ${apiKeysByAccount.granja}`, [CallerHeader.Timeout]: String(PATIENCE_MS) }

export function completion (prompt: string, maxTokens: number): string {
  return JSON.stringify({ model: 'order-language', prompt, max_tokens: maxTokens })
}

export function completionRequest (bodyBytes?: number): RequestText {
  return { path: EnginePath.Completions, headers: { host: 'entry', ...HEADERS, ...(bodyBytes === undefined ? { 'transfer-encoding': 'chunked' } : { 'content-length': String(bodyBytes) }) } }
}

/** @param flags of the process, beside those of its heap. */
export async function startLimitedRouter (descriptors = DESCRIPTORS, flags: readonly string[] = []): Promise<LimitedProcess> {
  const deployment = await SoakDeployment.create(() => {}, { entries: 1, entryFlags: [`--max-old-space-size=${HEAP_MB}`, '--max-semi-space-size=2', ...flags], limits: { memoryMb: MEMORY_MB, descriptors, bodyBytes: MAX_BODY_BYTES } })
  const [entry] = deployment.entries
  if (!entry) {
    throw new Error('No entry instance was started.')
  }
  return {
    clock: SystemClock.create(),
    child: entry.child,
    doors: { callers: entry.address.replace('http://', ''), control: entry.control.replace('http://', '') },
    metricsUrl: `${entry.control}/metrics`,
    memoryBytes: MEMORY_MB * BYTES_PER_MEGABYTE,
    descriptors,
    sendOrdinary: async () => {
      try {
        const answer = await request(`${entry.address}${EnginePath.Completions}`, { method: 'POST', headers: HEADERS, reset: true, body: completion('an ordinary prompt', 4), signal: AbortSignal.timeout(PATIENCE_MS) })
        await answer.body.dump()
        return answer.statusCode
      } catch {
        return 0
      }
    },
    close: async () => { await deployment.close() }
  }
}
