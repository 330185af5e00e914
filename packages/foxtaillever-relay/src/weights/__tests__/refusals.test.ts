import { describe, it } from 'foxtaillever-testing'
import type { KnownServer } from '../../servers/knownServer.js'
import { MODEL, OrderingFleet, type Instance } from '../__fixtures__/orderingFleet.js'

const ENGINE = 'engine-0'

function instanceKnowing (...versions: number[]): Instance {
  const [instance] = OrderingFleet.create({ instances: 1 }).instances as [Instance]
  instance.rollout.stop()
  versions.forEach(version => instance.rollout.addVersion(MODEL, version))
  return instance
}

function engineOf ({ directory }: Instance): KnownServer {
  return directory.get(ENGINE) as KnownServer
}

function versionAt ({ directory }: Instance): number | undefined {
  return directory.get(ENGINE)?.weights.get(MODEL)
}

describe('an instance that missed the update of an engine that changed its weights', () => {
  // It sent requests to that engine, which refused all of them; callers whose second attempt met another such engine got no answer.
  it('learns from the first refusal that the engine has newer weights', t => {
    const instance = instanceKnowing(2, 3)
    instance.rollout.handleRefusal(engineOf(instance), MODEL, 1)
    t.is(versionAt(instance), 2)
    instance.rollout.handleRefusal(engineOf(instance), MODEL, 1)
    t.is(versionAt(instance), 2)
    instance.rollout.handleRefusal(engineOf(instance), MODEL, 2)
    t.is(versionAt(instance), 3)
  })

  it('learns nothing from the refusal of another server at the address', t => {
    const instance = instanceKnowing(2)
    instance.rollout.handleRefusal(engineOf(instance), MODEL, undefined)
    t.is(versionAt(instance), 1)
  })

  it('learns of it from the heartbeats of any other instance', t => {
    const [instance, other] = [instanceKnowing(2), instanceKnowing(2)]
    other.directory.recordWeights(engineOf(other), MODEL, 2)
    t.deepEqual(other.rollout.currentEngines(), [{ model: MODEL, version: 2, engines: [engineOf(other).hash] }])
    other.rollout.currentEngines().forEach(current => instance.rollout.applyCurrentEngines(current))
    t.is(versionAt(instance), 2)
  })
})
