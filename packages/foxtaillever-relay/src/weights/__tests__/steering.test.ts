/**
 * Guards against a late update that ends the steering of an engine. The holder
 * announces a change to the next weights while other instances still learn of the
 * previous change from heartbeats and answers. They took that for the end of the new
 * change and sent requests to the engine, which refused all of them.
 */
import { describe, it } from 'foxtaillever-testing'
import type { KnownServer } from '../../servers/knownServer.js'
import { MODEL, OrderingFleet, type Instance } from '../__fixtures__/orderingFleet.js'

const ENGINE = 'engine-0'

function isSteered ({ directory, clock }: Instance): boolean {
  return (directory.get(ENGINE)?.changingUntil ?? 0) > clock.now()
}

describe('an instance that receives the update of an engine that changes', () => {
  const [instance] = OrderingFleet.create({ instances: 1 }).instances as [Instance]
  instance.rollout.stop()
  const engine = instance.directory.get(ENGINE) as KnownServer

  it('sends it no work until it has the announced weights', t => {
    instance.rollout.applyUpdate({ server: engine.hash, model: MODEL, version: 3, changingMs: 2500 })
    instance.directory.recordWeights(engine, MODEL, 2)
    t.true(isSteered(instance))
    instance.directory.recordWeights(engine, MODEL, 3)
    t.false(isSteered(instance))
  })

  it('ignores an update that arrives after the change', t => {
    instance.rollout.applyUpdate({ server: engine.hash, model: MODEL, version: 3, changingMs: 2500 })
    t.false(isSteered(instance))
  })
})
