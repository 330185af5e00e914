/** The process of one subject: sets itself up as requested, serves, and reports its own processor time. */
import type { AddressInfo } from 'node:net'
import { monitorEventLoopDelay } from 'node:perf_hooks'
import { createPassThrough } from './passThrough.js'
import { startRouter } from './startRouter.js'
import { MessageKind, SubjectKind, type Message, type SubjectSetup, type Usage } from './subject.js'
import { Upstream } from './upstream.js'

const HOST = '127.0.0.1'
const MICROSECONDS_PER_MILLISECOND = 1000
const NANOSECONDS_PER_MILLISECOND = 1e6
const BYTES_PER_MB = 1024 * 1024

const starters: Record<SubjectKind, (setup: SubjectSetup) => Promise<string>> = {
  [SubjectKind.Upstream]: async () => await startUpstream(),
  [SubjectKind.Router]: startRouter,
  [SubjectKind.PassThrough]: async ({ upstream }) => await createPassThrough(upstream).listen({ host: HOST, port: 0 })
}

async function startUpstream (): Promise<string> {
  const { server } = Upstream.create()
  await new Promise<void>(resolve => server.listen(0, HOST, resolve))
  return `${HOST}:${(server.address() as AddressInfo).port}`
}

const delay = monitorEventLoopDelay({ resolution: 1 })
let last = process.cpuUsage()

function measure (): Usage {
  const { user, system } = process.cpuUsage(last)
  const usage = {
    cpuMs: (user + system) / MICROSECONDS_PER_MILLISECOND,
    longestBlockMs: delay.max / NANOSECONDS_PER_MILLISECOND,
    memoryMb: process.memoryUsage.rss() / BYTES_PER_MB
  }
  last = process.cpuUsage()
  delay.reset()
  return usage
}

function tell (message: Message): void {
  process.send?.(message)
}

process.on('message', async (message: Message) => {
  if (message.kind === MessageKind.SetUp) {
    const address = await starters[message.setup.kind](message.setup)
    delay.enable()
    tell({ kind: MessageKind.Ready, address })
  } else if (message.kind === MessageKind.Measure) {
    tell({ kind: MessageKind.Usage, usage: measure() })
  }
})
process.on('disconnect', () => process.exit(0))
