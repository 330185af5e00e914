/** The entry process of the users' platform with small limits, before stand-ins of servers and of the platform. */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { SystemClock } from 'foxtaillever-core'
import { Caller, createCallerHeaders } from 'foxtaillever-platform/__fixtures__/caller'
import { freePort, nextHost } from 'foxtaillever-platform/__fixtures__/loopback'
import { createConfiguration, Path, PLAIN, ZONES } from 'foxtaillever-platform/__fixtures__/relayFleet'
import { waitFor } from 'foxtaillever-platform/__fixtures__/waitFor'
import { PlatformDeployment, type PlainShape } from 'foxtaillever-standins'
import { SHORT_BOUNDS } from '../platformSoak/soakFleet.js'
import { Child } from '../soak/child.js'
import type { LimitedProcess } from './limitedProcess.js'
import type { RequestText } from './requestTexts.js'

export const MAX_BODY_BYTES = 1_000_000
export const MAX_HEADER_BYTES = 16_384

/** Small enough that a small crowd exceeds them. */
const MEMORY_MB = 160
const HEAP_MB = 48
const DESCRIPTORS = 600

const BYTES_PER_MEGABYTE = 1_048_576

/** Port at which the entry process serves its metrics. */
const METRICS_PORT = 7351

const HEARTBEAT_MS = 300

/** How long an ordinary request may take, and when its caller leaves if it got no answer, milliseconds. */
const PATIENCE_MS = 10_000
const LEAVE_MS = 12_000

/** How long a request of a crowd may take, milliseconds. */
const CROWD_PATIENCE_MS = 20_000

const entry = new URL('../../../../platform/dist/main.js', import.meta.url).pathname

export interface LimitedRelayOptions {
  readonly plainShape?: PlainShape
  /** Most open descriptors of the process. */
  readonly descriptors?: number
}

/** A request to a plain server. */
export function plainRequest (index: number, headers: Readonly<Record<string, string>> = {}): RequestText {
  return { path: `${Path.Repeatable}x`, headers: { ...createCallerHeaders(`crowd-${index}`, 'key-acme', CROWD_PATIENCE_MS), ...headers } }
}

const ANY_NUMBER: PlainShape = { workMs: 10, slots: Infinity, maxWaiting: 0 }

export async function startLimitedRelay ({ plainShape = ANY_NUMBER, descriptors = DESCRIPTORS }: LimitedRelayOptions = {}): Promise<LimitedProcess> {
  const clock = SystemClock.create()
  const caller = Caller.create()
  const platform = PlatformDeployment.create({ clock, host: nextHost(), heartbeatMs: HEARTBEAT_MS })
  platform.configure(createConfiguration(1, {
    services: [{ name: PLAIN, health_path: '/health', max_conns: 5000 }],
    limits: { max_header_bytes: MAX_HEADER_BYTES, max_body_bytes: MAX_BODY_BYTES, header_timeout_ms: 5000, idle_timeout_ms: 10_000 }
  }))
  for (const zone of ZONES) {
    await platform.addPlain(`plain-${zone}`, PLAIN, zone, plainShape)
  }
  const ip = nextHost()
  const { address: store } = await platform.openStore()
  const [front, ready, peers] = [await freePort(ip), await freePort(ip), await freePort(ip)]
  const folder = mkdtempSync(join(tmpdir(), 'foxtaillever-clients-'))
  const path = join(folder, 'settings.json')
  writeFileSync(path, JSON.stringify({
    node: 'limited', zone: ZONES[0], ip, listen: { front: `${ip}:${front}`, ready: `${ip}:${ready}` }, internal_ports: [peers, peers], seeds: [], heartbeat_ms: HEARTBEAT_MS, bounds: SHORT_BOUNDS, platform: { address: store }, limits: { memory_mb: MEMORY_MB, max_fds: descriptors }
  }))
  const child = Child.create({ name: 'limited', arguments: [`--max-old-space-size=${HEAP_MB}`, '--max-semi-space-size=2', entry], environment: { FOXTAILLEVER_BOOT: path }, onLine: () => {} })
  child.start()
  let sent = 0
  const sendOrdinary = async (): Promise<number> => (await caller.send({ address: `${ip}:${front}`, id: `ordinary-${sent++}`, path: `${Path.Repeatable}x`, key: 'key-acme', body: 'a body', isNewConnection: true, patienceMs: PATIENCE_MS, disconnectAfterMs: LEAVE_MS })).status
  await waitFor('the process serves', async () => await sendOrdinary() === 200)
  return {
    clock,
    child,
    doors: { callers: `${ip}:${front}`, readiness: `${ip}:${ready}`, peers: `${ip}:${peers}`, metrics: `${ip}:${METRICS_PORT}` },
    metricsUrl: `http://${ip}:${METRICS_PORT}/metrics`,
    memoryBytes: MEMORY_MB * BYTES_PER_MEGABYTE,
    descriptors,
    sendOrdinary,
    close: async () => {
      caller.close()
      await child.kill()
      platform.close()
      rmSync(folder, { recursive: true })
    }
  }
}
