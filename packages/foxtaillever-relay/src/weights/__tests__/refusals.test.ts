import { describe, it } from 'foxtaillever-testing'
import type { KnownServer } from '../../servers/knownServer.js'
import { MODEL, OrderingFleet, type Instance } from '../__fixtures__/orderingFleet.js'

const ENGINE = 'engine-0'

function instanceKnowing (...versions: number[]): Instance {
  const [instance] = OrderingFleet.create({ instances: 1 }).instances as [Instance]
  instance.desk.stop()
  versions.forEach(version => instance.desk.name(MODEL, version))
  return instance
}

function engineOf ({ directory }: Instance): KnownServer {
  return directory.get(ENGINE) as KnownServer
}

function versionAt ({ directory }: Instance): number | undefined {
  return directory.get(ENGINE)?.weights.get(MODEL)
}

describe('an instance that missed the word of an engine that changed its weights', () => {
  // It sent every request there to be refused, and callers whose second try met another such engine got nothing.
  it('learns from the first refusal that the engine has newer weights', t => {
    const instance = instanceKnowing(2, 3)
    instance.desk.observeRefusal(engineOf(instance), MODEL, 1)
    t.is(versionAt(instance), 2)
    instance.desk.observeRefusal(engineOf(instance), MODEL, 1)
    t.is(versionAt(instance), 2)
    instance.desk.observeRefusal(engineOf(instance), MODEL, 2)
    t.is(versionAt(instance), 3)
  })

  it('learns nothing from the refusal of another server at the address', t => {
    const instance = instanceKnowing(2)
    instance.desk.observeRefusal(engineOf(instance), MODEL, undefined)
    t.is(versionAt(instance), 1)
  })

  it('hears of it with the beats of any other', t => {
    const [instance, other] = [instanceKnowing(2), instanceKnowing(2)]
    other.directory.recordWeights(engineOf(other), MODEL, 2)
    t.deepEqual(other.desk.current(), [{ model: MODEL, version: 2, engines: [engineOf(other).hash] }])
    other.desk.current().forEach(news => instance.desk.observeCurrent(news))
    t.is(versionAt(instance), 2)
  })
})
