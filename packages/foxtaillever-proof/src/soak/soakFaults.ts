/** The faults of the soak, drawn one at a time; each ends by itself. */
import { ListedState, waitUntil, type Clock, type Random } from 'foxtaillever-core'
import { ENGINES, ENTRIES, type SoakDeployment } from './soakDeployment.js'
import { SoakPromise, type SoakOracle } from './soakOracle.js'

export interface FaultContext {
  readonly deployment: SoakDeployment
  readonly oracle: SoakOracle
  readonly random: Random
  readonly clock: Clock
  /** Called before a fault hits an instance; its callers' connections may break. */
  readonly onDisturb: (entry: number) => void
  /** Called before an instance stops gracefully; none of its answers may be cut off until it has restarted. */
  readonly onDrain: (entry: number) => void
  /** Instances that are stopping gracefully; no other fault hits them. */
  readonly draining: Set<number>
}

type Fault = (context: FaultContext) => Promise<void>

const MAX_PAUSE_MS = 6000
const MAX_DOWNTIME_MS = 1500
const MAX_OUTAGE_MS = 4000
const LEAVING_MS = 3000

async function waitRandomly (context: FaultContext, maxMs: number): Promise<void> {
  await waitUntil(context.clock, context.clock.now() + context.random.below(maxMs))
}

/** Draws an instance; undefined if it is stopping gracefully. */
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
  context.onDisturb(index)
  await entry?.child.kill()
  await waitRandomly(context, MAX_DOWNTIME_MS)
  context.onDisturb(index)
  entry?.child.start()
}

async function pauseEntry (context: FaultContext): Promise<void> {
  const index = drawEntry(context)
  if (index === undefined) {
    return
  }
  const entry = context.deployment.entries[index]
  context.onDisturb(index)
  entry?.child.suspend()
  await waitRandomly(context, MAX_PAUSE_MS)
  context.onDisturb(index)
  entry?.child.resume()
}

async function restartAllEntries (context: FaultContext): Promise<void> {
  const { entries } = context.deployment
  await Promise.all(entries.map(async ({ child }, index) => {
    if (!context.draining.has(index)) {
      context.onDisturb(index)
      await child.kill()
      child.start()
    }
  }))
}

async function drainEntry (context: FaultContext): Promise<void> {
  const index = drawEntry(context)
  const entry = index === undefined ? undefined : context.deployment.entries[index]
  if (index === undefined || !entry?.child.isUp() || entry.child.isSuspended) {
    return
  }
  context.draining.add(index)
  // A process that doesn't serve yet has no requests to finish.
  await context.deployment.waitFor(`${entry.address}/readyz`)
  context.onDrain(index)
  const code = await entry.child.terminate()
  context.oracle.expect(SoakPromise.GracefulStop, code === 0, () => `entry-${index} ended with ${code}: ${entry.child.stderrTail}`)
  entry.child.start()
  context.draining.delete(index)
}

async function killEngine (context: FaultContext): Promise<void> {
  const engine = context.deployment.engines[context.random.below(ENGINES)]
  await engine?.child.kill()
  await waitRandomly(context, MAX_DOWNTIME_MS)
  engine?.child.start()
}

async function pauseEngine (context: FaultContext): Promise<void> {
  const engine = context.deployment.engines[context.random.below(ENGINES)]
  engine?.child.suspend()
  await waitRandomly(context, MAX_PAUSE_MS)
  engine?.child.resume()
}

async function makeEngineLeave (context: FaultContext): Promise<void> {
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

async function causeLogOutage (context: FaultContext): Promise<void> {
  const { deployment } = context
  await deployment.setFaults(deployment.log, { outage: true })
  await waitRandomly(context, MAX_OUTAGE_MS)
  await deployment.setFaults(deployment.log, { outage: false })
}

async function loseLogAnswers (context: FaultContext): Promise<void> {
  const { deployment, random } = context
  await deployment.setFaults(deployment.log, { lostAnswers: 1 + random.below(4), slownessMs: random.below(300) })
  await waitRandomly(context, MAX_OUTAGE_MS)
  await deployment.setFaults(deployment.log, { slownessMs: 0 })
}

/** All faults by name; each is equally likely to be drawn. */
export const soakFaults: ReadonlyArray<{ readonly name: string, readonly run: Fault }> = [
  { name: 'kill entry', run: killEntry },
  { name: 'pause entry', run: pauseEntry },
  { name: 'restart herd', run: restartAllEntries },
  { name: 'drain entry', run: drainEntry },
  { name: 'kill engine', run: killEngine },
  { name: 'pause engine', run: pauseEngine },
  { name: 'leave engine', run: makeEngineLeave },
  { name: 'cut streams', run: cutStreams },
  { name: 'log outage', run: causeLogOutage },
  { name: 'lose answers', run: loseLogAnswers }
]
