import { describe, it } from 'foxtaillever-testing'
import { AdmissionHistory } from '../__fixtures__/admissionHistory.js'

/** `npm run fuzz -- admission` plays more. */
const HISTORIES = 48

describe('drawn histories of admission', () => {
  // Faults that follow each other, in an order that no single test has.
  it('exceed no bound, and decide every request once, in order of urgency and in time', async t => {
    for (let seed = 1; seed <= HISTORIES; seed += 1) {
      const { violations, changes } = await AdmissionHistory.play(seed)
      t.deepEqual(violations, [], `seed ${seed}: ${changes.join(' ')}`)
    }
  })
})
