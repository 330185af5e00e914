/** What an instance gets of an answer that its server breaks off while another instance carries the request. */
import { Verdict } from 'foxtaillever-core'
import { describe, it } from 'foxtaillever-testing'
import { answerPartAndReset, Break, Framing, headLength, stopInHead } from '../../__fixtures__/interruptedAnswers.js'
import { meaningOf } from '../../attempts/attemptFailure.js'
import { ForwardingRig } from '../__fixtures__/forwardingRig.js'

/** Larger than what the system buffers of a connection on loopback, bytes. */
const UPLOAD_BYTES = 8 * 1024 * 1024

describe('an answer that its server breaks off while another instance carries the request', () => {
  // Guards against a part of an answer that the carrying instance frames as a whole one.
  for (const how of Object.values(Break)) {
    it(`is none if it stops in its head: ${how}`, async t => {
      for (let length = 0; length < headLength('r', false); length += 1) {
        const rig = await ForwardingRig.start(stopInHead(length, how, false))
        const { head, failure } = await rig.send('r')
        t.is(head, undefined, `${length} bytes`)
        t.is(failure && meaningOf[failure.kind].verdict, Verdict.MayHaveRun, `${length} bytes: ${failure?.kind}`)
        rig.stop()
      }
    })
  }

  for (const framing of Object.values(Framing)) {
    it(`is not whole if its server resets while it is sent the request: framed by ${framing}`, async t => {
      for (const afterMs of [0, 1, 20]) {
        const rig = await ForwardingRig.start(answerPartAndReset(framing, afterMs), undefined, true)
        rig.maxBodyBytes = UPLOAD_BYTES
        const { failure } = await rig.send('r', 'u'.repeat(UPLOAD_BYTES))
        t.is(failure && meaningOf[failure.kind].verdict, Verdict.MayHaveRun, `reset after ${afterMs} ms`)
        t.is(rig.scripted.arrivals.length, 1)
        rig.stop()
      }
    })
  }
})
