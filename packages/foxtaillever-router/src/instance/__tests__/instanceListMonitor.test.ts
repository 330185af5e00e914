import { ListedKind, ListedState, type ListedInstance } from 'foxtaillever-core'
import { describe, it, VirtualClock } from 'foxtaillever-testing'
import { Right } from 'purify-ts'
import { InstanceListMonitor } from '../instanceListMonitor.js'

function listed (name: string, state: ListedState): ListedInstance {
  return { name, kind: ListedKind.BackendServer, address: '127.0.0.1:1', failureDomain: 'a', state }
}

describe('InstanceListMonitor', () => {
  // Guards against an instance that no longer follows the list of servers after one odd entry, and sends requests to servers that left.
  it('goes on after a list that cannot be applied', async t => {
    const clock = VirtualClock.create()
    const states = new Map<string, ListedState>()
    const errors: unknown[] = []
    let list = [listed('a', ListedState.Live), listed('odd', ListedState.Live)]
    const monitor = InstanceListMonitor.create({
      clock,
      list: { list: async () => Right(list) },
      core: {
        applyInstanceList: instances => instances.forEach(({ name, state }) => {
          if (name === 'odd') {
            throw new TypeError('odd')
          }
          states.set(name, state)
        })
      },
      plain: { setLeaving: () => {} },
      onError: error => errors.push(error)
    })
    monitor.start()
    await clock.advanceBy(2000)
    list = [listed('a', ListedState.Leaving)]
    await clock.advanceBy(2000)
    monitor.stop()
    t.is(states.get('a'), ListedState.Leaving)
    t.true(errors.length > 0)
  })
})
