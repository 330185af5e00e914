/** Applies faults to an embedded deployment at their scheduled times. */
import type { EmbeddedDeployment } from '../deployment/embeddedDeployment.js'
import type { Fault, FaultValue } from './fault.js'

type Changes = Readonly<Record<string, FaultValue>>
type FaultHandler = (changes: Changes) => void

function createFaultHandlers (deployment: EmbeddedDeployment): Map<string, FaultHandler> {
  const handlers = new Map<string, FaultHandler>([
    ['log', changes => deployment.log.setFaults(changes)],
    ['list', changes => deployment.list.setFaults(changes)],
    ['weight-store', changes => deployment.weightStore.setFaults(changes)],
    ['kept-cache-store', changes => deployment.keptCacheStore.setFaults(changes)]
  ])
  deployment.plains.forEach((plain, index) => handlers.set(`plain-${index + 1}`, changes => plain.model.setFaults(changes)))
  deployment.engines.forEach((engine, name) => handlers.set(name, ({ crash, leave, ...faults }) => {
    engine.setFaults(faults)
    if (leave === true) {
      engine.leave()
    }
    if (crash === true) {
      engine.crash()
    }
  }))
  return handlers
}

/** Names of the possible targets of a fault. */
export function faultTargets (deployment: EmbeddedDeployment): string[] {
  return [...createFaultHandlers(deployment).keys()]
}

/** Schedules faults; returns a function that cancels those that are not yet due. */
export function scheduleFaults (deployment: EmbeddedDeployment, faults: readonly Fault[]): () => void {
  const handlers = createFaultHandlers(deployment)
  const unknown = faults.find(fault => !handlers.has(fault.target))
  if (unknown) {
    throw new Error(`Unknown fault target "${unknown.target}". Use one of ${faultTargets(deployment).join(', ')}.`)
  }
  const timers = faults.map(fault => setTimeout(() => handlers.get(fault.target)?.(fault.changes), fault.offsetMs))
  return () => timers.forEach(timer => clearTimeout(timer))
}
