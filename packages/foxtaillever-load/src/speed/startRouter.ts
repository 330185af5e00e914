/** Starts a real entry instance in front of the measuring upstream, configured through a log in the same process. */
import { AdministrativeState, RecordKind, ServerKind, SystemClock, type BackendServer } from 'foxtaillever-core'
import { Permission } from 'foxtaillever-fleet'
import { EntryInstance, Logs } from 'foxtaillever-router'
import { createInstanceListServer, createLogServer, InstanceListModel, LogModel } from 'foxtaillever-standins'
import { createFirstChanges } from '../deployment/createFirstChanges.js'
import { instanceLimits } from '../deployment/instanceLimits.js'
import type { Shape } from '../deployment/shape.js'
import { createSpeedShape } from './speedShape.js'
import type { SubjectSetup } from './subject.js'

const HOST = '127.0.0.1'
const LOG_RETENTION_MS = 86_400_000
const LOG_APPENDS_PER_SECOND = 300
const READY_POLL_INTERVAL_MS = 20

function describeWorker (shape: Shape, address: string, index: number): BackendServer {
  return {
    name: `worker-${index}`,
    kind: ServerKind.Language,
    address,
    failureDomain: shape.failureDomains[index % shape.failureDomains.length] ?? '',
    models: [shape.model],
    slots: shape.slots,
    prefillTokensPerSecond: shape.prefillTokensPerSecond,
    decodeTokensPerSecond: shape.decodeTokensPerSecond,
    cacheTokens: shape.cacheTokens,
    checksFencing: true,
    checksCaller: true,
    state: AdministrativeState.InService
  }
}

async function listenUrl (server: { listen: (options: { host: string, port: number }) => Promise<string> }): Promise<string> {
  return (await server.listen({ host: HOST, port: 0 })).replace('http://', '')
}

export async function startRouter (setup: SubjectSetup): Promise<string> {
  const clock = SystemClock.create()
  const shape = createSpeedShape(setup)
  const log = LogModel.create({ retentionMs: LOG_RETENTION_MS, appendsPerSecond: LOG_APPENDS_PER_SECOND }, clock)
  const workers = Array.from({ length: setup.workers }, (_, index) => describeWorker(shape, setup.upstream, index))
  const changes = createFirstChanges(shape, { queueLimit: 100_000 }, workers)
  log.append({ id: 'first-configuration', kind: RecordKind.Configuration, writtenAt: clock.now(), body: { base: 0, author: 'speed', changes } })
  const instance = EntryInstance.create({
    name: 'entry-1',
    failureDomain: shape.failureDomains[0] ?? '',
    listen: { host: HOST, port: 0 },
    control: { host: HOST, port: 0 },
    gossip: { host: HOST, port: 0 },
    seeds: [],
    keys: [{ id: 'speed', secret: 'a key of the speed measurement', permissions: [Permission.Join] }],
    operators: [],
    logAddress: await listenUrl(createLogServer(log, clock)),
    listAddress: await listenUrl(createInstanceListServer(InstanceListModel.create(0, clock))),
    distancesMs: {},
    limits: instanceLimits,
    logs: Logs.create({ instance: 'entry-1', level: 'error', clock }),
    seed: 1,
    logRetentionMs: LOG_RETENTION_MS,
    claimKeptMs: LOG_RETENTION_MS / 2
  })
  const { callers } = await instance.start()
  while ((await fetch(`${callers}/readyz`)).status !== 200) {
    await new Promise(resolve => setTimeout(resolve, READY_POLL_INTERVAL_MS))
  }
  return callers
}
