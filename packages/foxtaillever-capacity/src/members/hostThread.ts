/** Entry point of a thread that hosts members. */
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { parentPort, workerData } from 'node:worker_threads'
import { Right } from 'purify-ts'
import { SystemClock, type ListedInstance } from 'foxtaillever-core'
import { HostedMember, type HostParts } from './hostedMember.js'
import { HostCommandKind, type MemberPlan, type HostCommand, type CommandMessage, type HostResult } from './hostCommands.js'
import { Reachability } from './reachability.js'
import { SharedLog } from './sharedLog.js'

/** Resolution of the time at which a crashed member is removed, milliseconds. */
const CHECK_INTERVAL_MS = 20

setFlagsFromString('--expose-gc')
const collectGarbage = runInNewContext('gc') as () => void

const clock = SystemClock.create()
const log = SharedLog.create(clock)
const reachability = Reachability.create()
const members = new Map<string, HostedMember>()
let listed: readonly ListedInstance[] = []
let seed = workerData as number
let sharingTimer: NodeJS.Timeout | undefined

const hostParts: Omit<HostParts, 'seed'> = { clock, log, reachability, instances: { list: async () => Right(listed) } }

async function start (plans: readonly MemberPlan[]): Promise<HostResult> {
  const started = []
  for (const plan of plans) {
    seed += 1
    const member = await HostedMember.create(plan, { ...hostParts, seed })
    members.set(plan.name, member)
    started.push(member.started)
  }
  return { started }
}

async function restart (names: readonly string[], suffix: string): Promise<HostResult> {
  const plans: MemberPlan[] = []
  for (const name of names) {
    const member = members.get(name)
    if (member) {
      members.delete(name)
      plans.push({ name: `${name}${suffix}`, failureDomain: member.started.failureDomain })
      await member.stop()
    }
  }
  return await start(plans)
}

function share (facts: number, periodMs: number): void {
  clearInterval(sharingTimer)
  if (facts > 0) {
    sharingTimer = setInterval(() => members.forEach(member => member.shareFacts(facts)), periodMs)
  }
}

function crash (names: readonly string[]): void {
  for (const name of names) {
    const member = members.get(name)
    if (member) {
      members.delete(name)
      reachability.crash(member.started.address)
      reachability.crash(member.started.controlAddress)
      member.stop().catch(() => {})
    }
  }
}

function sample (collect: boolean): HostResult {
  if (collect) {
    collectGarbage()
  }
  const heapBytes = process.memoryUsage().heapUsed
  return { sample: { members: [...members.values()].map(member => member.sample()), heapBytes } }
}

type Handlers = { [Kind in HostCommandKind]: (command: Extract<HostCommand, { kind: Kind }>) => Promise<HostResult> | HostResult }

const handlers: Handlers = {
  [HostCommandKind.Start]: async ({ plans }) => await start(plans),
  [HostCommandKind.List]: command => {
    listed = command.listed
    return {}
  },
  [HostCommandKind.Append]: ({ record, only }) => {
    if (only === undefined) {
      log.addRecord(record)
    } else {
      members.get(only)?.applyRecord(record)
    }
    return {}
  },
  [HostCommandKind.SetLog]: ({ down }) => {
    log.isDown = down
    return {}
  },
  [HostCommandKind.Crash]: ({ names }) => {
    crash(names)
    return {}
  },
  [HostCommandKind.Restart]: async ({ names, suffix }) => await restart(names, suffix),
  [HostCommandKind.Cut]: ({ groups }) => {
    reachability.setGroups(groups)
    return {}
  },
  [HostCommandKind.Share]: ({ facts, periodMs }) => {
    share(facts, periodMs)
    return {}
  },
  [HostCommandKind.Watch]: ({ names }) => {
    members.forEach(member => member.watchMembers(names))
    return {}
  },
  [HostCommandKind.Sample]: ({ collect }) => sample(collect),
  [HostCommandKind.Stop]: async () => {
    share(0, 0)
    clearInterval(checkTimer)
    await Promise.all([...members.values()].map(member => member.stop()))
    return {}
  }
}

const checkTimer = setInterval(() => members.forEach(member => member.checkWatchedMembers()), CHECK_INTERVAL_MS)

parentPort!.on('message', async ({ number, command }: CommandMessage) => {
  const handler = handlers[command.kind] as (command: HostCommand) => Promise<HostResult> | HostResult
  const result = await handler(command)
  parentPort!.postMessage({ number, result })
})
