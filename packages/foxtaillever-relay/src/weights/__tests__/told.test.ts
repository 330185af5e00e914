/**
 * The holder says that an engine changes to the next weights while others still
 * learn, by beats and answers, of the change before. Taken for the end of the new
 * one, that news made them send requests there, and all were refused.
 */
import { describe, it } from 'foxtaillever-testing'
import type { KnownServer } from '../../servers/knownServer.js'
import { MODEL, OrderingFleet, type Instance } from '../__fixtures__/orderingFleet.js'

const ENGINE = 'engine-0'

function isSteered ({ directory, clock }: Instance): boolean {
  return (directory.get(ENGINE)?.changingUntil ?? 0) > clock.now()
}

describe('an instance that hears of an engine that changes', () => {
  const [instance] = OrderingFleet.create({ instances: 1 }).instances as [Instance]
  instance.desk.stop()
  const engine = instance.directory.get(ENGINE) as KnownServer

  it('keeps work away until it has the weights that were told', t => {
    instance.desk.observe({ server: engine.hash, model: MODEL, version: 3, changingMs: 2500 })
    instance.directory.recordWeights(engine, MODEL, 2)
    t.true(isSteered(instance))
    instance.directory.recordWeights(engine, MODEL, 3)
    t.false(isSteered(instance))
  })

  it('is not misled by a word that comes after the change', t => {
    instance.desk.observe({ server: engine.hash, model: MODEL, version: 3, changingMs: 2500 })
    t.false(isSteered(instance))
  })
})
