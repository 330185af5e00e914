/** The faults of the soak, one drawn at a time; each undoes itself. */
import { ListedState, waitUntil, type Clock, type Random } from 'foxtaillever-core'
import { ENGINES, ENTRIES, type SoakDeployment } from './soakDeployment.js'
import { SoakPromise, type SoakOracle } from './soakOracle.js'

export interface FaultContext {
  readonly deployment: SoakDeployment
  readonly oracle: SoakOracle
  readonly random: Random
  readonly clock: Clock
  /** An instance is about to be disturbed; its callers' connections may break. */
  readonly disturb: (entry: number) => void
  /** An instance was told to end gracefully: nothing through it may be cut until it is back. */
  readonly drain: (entry: number) => void
  /** Instances that end gracefully just now; no other fault hits them. */
  readonly draining: Set<number>
}

type Fault = (context: FaultContext) => Promise<void>

const LONGEST_PAUSE_MS = 6000
const LONGEST_DOWN_MS = 1500
const LONGEST_OUTAGE_MS = 4000
const LEAVING_MS = 3000

async function waitSome (context: FaultContext, longestMs: number): Promise<void> {
  await waitUntil(context.clock, context.clock.now() + context.random.below(longestMs))
}

/** An instance that is not being drained, if the one drawn is not. */
function drawEntry ({ random, draining }: FaultContext): number | undefined {
  const index = random.below(ENTRIES)
  return draining.has(index) ? undefined : index
}

async function killEntry (context: FaultContext): Promise<void> {
  const index = drawEntry(context)
  if (index === undefined) {
    return
  }
  const entry = context.deployment.entries[index]
  context.disturb(index)
  await entry?.child.kill()
  await waitSome(context, LONGEST_DOWN_MS)
  context.disturb(index)
  entry?.child.start()
}

async function pauseEntry (context: FaultContext): Promise<void> {
  const index = drawEntry(context)
  if (index === undefined) {
    return
  }
  const entry = context.deployment.entries[index]
  context.disturb(index)
  entry?.child.stop()
  await waitSome(context, LONGEST_PAUSE_MS)
  context.disturb(index)
  entry?.child.continue()
}

async function restartHerd (context: FaultContext): Promise<void> {
  const { entries } = context.deployment
  await Promise.all(entries.map(async ({ child }, index) => {
    if (!context.draining.has(index)) {
      context.disturb(index)
      await child.kill()
      child.start()
    }
  }))
}

async function drainEntry (context: FaultContext): Promise<void> {
  const index = drawEntry(context)
  const entry = index === undefined ? undefined : context.deployment.entries[index]
  if (index === undefined || !entry?.child.isUp() || entry.child.isStopped) {
    return
  }
  context.draining.add(index)
  // A process that has not begun to serve has nothing to finish.
  await context.deployment.waitFor(`${entry.address}/readyz`)
  context.drain(index)
  const code = await entry.child.terminate()
  context.oracle.expect(SoakPromise.GracefulStop, code === 0, () => `entry-${index} ended with ${code}: ${entry.child.complaint}`)
  entry.child.start()
  context.draining.delete(index)
}

async function killEngine (context: FaultContext): Promise<void> {
  const engine = context.deployment.engines[context.random.below(ENGINES)]
  await engine?.child.kill()
  await waitSome(context, LONGEST_DOWN_MS)
  engine?.child.start()
}

async function pauseEngine (context: FaultContext): Promise<void> {
  const engine = context.deployment.engines[context.random.below(ENGINES)]
  engine?.child.stop()
  await waitSome(context, LONGEST_PAUSE_MS)
  engine?.child.continue()
}

async function leaveEngine (context: FaultContext): Promise<void> {
  const index = context.random.below(ENGINES)
  const engine = context.deployment.engines[index]
  if (!engine) {
    return
  }
  await context.deployment.setFaults(engine, { leave: true })
  await context.deployment.listEngine(index, ListedState.Leaving)
  await waitUntil(context.clock, context.clock.now() + LEAVING_MS)
  await engine.child.kill()
  engine.child.start()
  await context.deployment.listEngine(index, ListedState.Live)
}

async function cutStreams (context: FaultContext): Promise<void> {
  const engine = context.deployment.engines[context.random.below(ENGINES)]
  if (engine) {
    await context.deployment.setFaults(engine, { cutStreams: 1 + context.random.below(5), cutAfterTokens: 1 + context.random.below(6) })
  }
}

async function logOutage (context: FaultContext): Promise<void> {
  const { deployment } = context
  await deployment.setFaults(deployment.log, { outage: true })
  await waitSome(context, LONGEST_OUTAGE_MS)
  await deployment.setFaults(deployment.log, { outage: false })
}

async function loseAnswers (context: FaultContext): Promise<void> {
  const { deployment, random } = context
  await deployment.setFaults(deployment.log, { lostAnswers: 1 + random.below(4), slownessMs: random.below(300) })
  await waitSome(context, LONGEST_OUTAGE_MS)
  await deployment.setFaults(deployment.log, { slownessMs: 0 })
}

/** Names and faults; all are drawn equally often. */
export const soakFaults: ReadonlyArray<{ readonly name: string, readonly run: Fault }> = [
  { name: 'kill entry', run: killEntry },
  { name: 'pause entry', run: pauseEntry },
  { name: 'restart herd', run: restartHerd },
  { name: 'drain entry', run: drainEntry },
  { name: 'kill engine', run: killEngine },
  { name: 'pause engine', run: pauseEngine },
  { name: 'leave engine', run: leaveEngine },
  { name: 'cut streams', run: cutStreams },
  { name: 'log outage', run: logOutage },
  { name: 'lose answers', run: loseAnswers }
]
