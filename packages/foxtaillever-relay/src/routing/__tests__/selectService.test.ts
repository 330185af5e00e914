import { describe, it } from 'foxtaillever-testing'
import { plainRoute } from '../../__fixtures__/relayRig.js'
import { selectService } from '../routeTable.js'

const STREAMS = 4000

describe('the service of a route with several targets', () => {
  const route = { ...plainRoute, targets: [{ service: 'a', weight: 1 }, { service: 'b', weight: 3 }] }

  it('is selected in proportion to the weights', t => {
    const selected = Array.from({ length: STREAMS }, (_, index) => selectService(route, `stream-${index}`))
    const share = selected.filter(service => service === 'b').length / STREAMS
    t.true(Math.abs(share - 0.75) < 0.03, String(share))
  })

  // Guards against a stream that goes on at another service when its caller takes it up.
  it('is the same for a stream and for those that take it up, also after the weights changed in its favour', t => {
    for (let index = 0; index < STREAMS; index += 1) {
      const service = selectService(route, `stream-${index}`)
      t.is(selectService(route, `stream-${index}`), service)
      const weights = { a: service === 'a' ? 9 : 1, b: service === 'b' ? 9 : 1 }
      t.is(selectService({ ...route, targets: [{ service: 'a', weight: weights.a }, { service: 'b', weight: weights.b }] }, `stream-${index}`), service)
    }
  })
})
