import { describe, it } from 'foxtaillever-testing'
import { request } from 'undici'
import { startLimitedRouter } from '../clients/limitedRouter.js'

/** Loaded before the process: at each signal an error that nothing catches, and a rejection that nothing handles. */
const FAULTS = `process.on('SIGUSR2', () => {
  Promise.reject(new Error('rejected'))
  throw new Error('thrown')
})`

const DESCRIPTORS = 600

describe('the project\'s own entry process', () => {
  // Guards against an unexpected error of one request that ends the process, and with it the requests of all callers.
  it('goes on after an uncaught error and an unhandled rejection, and counts them', async t => {
    t.timeout(60_000)
    const router = await startLimitedRouter(DESCRIPTORS, ['--import', `data:text/javascript,${encodeURIComponent(FAULTS)}`])
    try {
      t.is(await router.sendOrdinary(), 200)
      process.kill(router.child.pid ?? NaN, 'SIGUSR2')
      t.is(await router.sendOrdinary(), 200)
      t.deepEqual(router.child.unexpectedExits, [])
      const { body } = await request(router.metricsUrl)
      t.regex(await body.text(), /^foxtaillever_uncaught_errors_total 2$/m)
    } finally {
      await router.close()
    }
  })
})
