/**
 * Entry of a thread that hosts members.
 */
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { parentPort, workerData } from 'node:worker_threads'
import { Right } from 'purify-ts'
import { SystemClock, type ListedInstance } from 'foxtaillever-core'
import { HostedMember, type HostParts } from './hostedMember.js'
import { OrderKind, type MemberPlan, type Order, type OrderMessage, type OrderResult } from './orders.js'
import { Reachability } from './reachability.js'
import { SharedLog } from './sharedLog.js'

/** How finely the time of a death is seen, milliseconds. */
const LOOK_MS = 20

setFlagsFromString('--expose-gc')
const collectGarbage = runInNewContext('gc') as () => void

const clock = SystemClock.create()
const log = SharedLog.create(clock)
const reachability = Reachability.create()
const members = new Map<string, HostedMember>()
let listed: readonly ListedInstance[] = []
let seed = workerData as number
let sharing: NodeJS.Timeout | undefined

const parts: Omit<HostParts, 'seed'> = { clock, log, reachability, instances: { list: async () => Right(listed) } }

async function start (plans: readonly MemberPlan[]): Promise<OrderResult> {
  const started = []
  for (const plan of plans) {
    seed += 1
    const member = await HostedMember.create(plan, { ...parts, seed })
    members.set(plan.name, member)
    started.push(member.started)
  }
  return { started }
}

async function restart (names: readonly string[], suffix: string): Promise<OrderResult> {
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
  clearInterval(sharing)
  if (facts > 0) {
    sharing = setInterval(() => members.forEach(member => member.share(facts)), periodMs)
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

function sample (collect: boolean): OrderResult {
  if (collect) {
    collectGarbage()
  }
  const heapBytes = process.memoryUsage().heapUsed
  return { sample: { members: [...members.values()].map(member => member.sample()), heapBytes } }
}

type Handlers = { [Kind in OrderKind]: (order: Extract<Order, { kind: Kind }>) => Promise<OrderResult> | OrderResult }

const handlers: Handlers = {
  [OrderKind.Start]: async ({ plans }) => await start(plans),
  [OrderKind.List]: order => {
    listed = order.listed
    return {}
  },
  [OrderKind.Append]: ({ record, only }) => {
    if (only === undefined) {
      log.add(record)
    } else {
      members.get(only)?.take(record)
    }
    return {}
  },
  [OrderKind.SetLog]: ({ down }) => {
    log.isDown = down
    return {}
  },
  [OrderKind.Crash]: ({ names }) => {
    crash(names)
    return {}
  },
  [OrderKind.Restart]: async ({ names, suffix }) => await restart(names, suffix),
  [OrderKind.Cut]: ({ groups }) => {
    reachability.setGroups(groups)
    return {}
  },
  [OrderKind.Share]: ({ facts, periodMs }) => {
    share(facts, periodMs)
    return {}
  },
  [OrderKind.Watch]: ({ names }) => {
    members.forEach(member => member.watch(names))
    return {}
  },
  [OrderKind.Sample]: ({ collect }) => sample(collect),
  [OrderKind.Stop]: async () => {
    share(0, 0)
    clearInterval(looking)
    await Promise.all([...members.values()].map(member => member.stop()))
    return {}
  }
}

const looking = setInterval(() => members.forEach(member => member.look()), LOOK_MS)

parentPort!.on('message', async ({ number, order }: OrderMessage) => {
  const handler = handlers[order.kind] as (order: Order) => Promise<OrderResult> | OrderResult
  const result = await handler(order)
  parentPort!.postMessage({ number, result })
})
