import { FailureCode } from 'foxtaillever-core'
import { describe, it } from 'foxtaillever-testing'
import { earliestRetryTime } from '../earliestRetryTime.js'

// An instance that has just started has no configuration for some hundred milliseconds. A caller that retries as soon
// as after a full server is refused again and has used up its retry.
describe('the earliest retry time', () => {
  it('is later while no configuration is known than after a rejection', t => {
    t.true(earliestRetryTime(FailureCode.NoConfiguration, 1000) > earliestRetryTime(FailureCode.BackendServerRefused, 1000))
  })

  it('is in the future for every failure', t => {
    Object.values(FailureCode).forEach(code => t.true(earliestRetryTime(code, 1000) > 1000, code))
  })
})
