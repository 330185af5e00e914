import { FailureCode } from 'foxtaillever-core'
import { describe, it } from 'foxtaillever-testing'
import { comeBackAt } from '../comeBack.js'

// An instance that has just started knows no configuration for some hundred milliseconds. A caller that is told to
// come back as soon as after a full server meets the same refusal and has used up its retry.
describe('the time to come back', () => {
  it('is later while no configuration is known than after a rejection', t => {
    t.true(comeBackAt(FailureCode.NoConfiguration, 1000) > comeBackAt(FailureCode.BackendServerRefused, 1000))
  })

  it('lies ahead for every failure', t => {
    Object.values(FailureCode).forEach(code => t.true(comeBackAt(code, 1000) > 1000, code))
  })
})
