/** Switches faults of an embedded deployment at their times. */
import type { EmbeddedDeployment } from '../deployment/embeddedDeployment.js'
import type { Fault, FaultValue } from './fault.js'

type Changes = Readonly<Record<string, FaultValue>>
type Switch = (changes: Changes) => void

function switchesOf (deployment: EmbeddedDeployment): Map<string, Switch> {
  const switches = new Map<string, Switch>([
    ['log', changes => deployment.log.setFaults(changes)],
    ['list', changes => deployment.list.setFaults(changes)],
    ['weight-store', changes => deployment.weightStore.setFaults(changes)],
    ['kept-cache-store', changes => deployment.keptCacheStore.setFaults(changes)]
  ])
  deployment.plains.forEach((plain, index) => switches.set(`plain-${index + 1}`, changes => plain.model.setFaults(changes)))
  deployment.engines.forEach((engine, name) => switches.set(name, ({ crash, leave, ...faults }) => {
    engine.setFaults(faults)
    if (leave === true) {
      engine.leave()
    }
    if (crash === true) {
      engine.crash()
    }
  }))
  return switches
}

/** Names that a fault may be aimed at. */
export function faultTargets (deployment: EmbeddedDeployment): string[] {
  return [...switchesOf(deployment).keys()]
}

/** Returns what undoes those that are not yet due. */
export function scheduleFaults (deployment: EmbeddedDeployment, faults: readonly Fault[]): () => void {
  const switches = switchesOf(deployment)
  const unknown = faults.find(fault => !switches.has(fault.target))
  if (unknown) {
    throw new Error(`No ${unknown.target} here. Aim at one of ${faultTargets(deployment).join(', ')}.`)
  }
  const timers = faults.map(fault => setTimeout(() => switches.get(fault.target)?.(fault.changes), fault.offsetMs))
  return () => timers.forEach(timer => clearTimeout(timer))
}
