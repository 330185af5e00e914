/** What callers get if a server breaks off in the head of its answer, or answers and resets while the request is sent. */
import { describe, it } from 'foxtaillever-testing'
import { answerPartAndReset, Break, Framing, headLength, stopInHead } from '../__fixtures__/interruptedAnswers.js'
import { RelayRig } from '../__fixtures__/relayRig.js'
import { answerWell, repeatableKinds, routeKinds } from '../__fixtures__/routeKinds.js'

/** Larger than what the system buffers of a connection on loopback, so that the server answers while it is sent, bytes. */
const UPLOAD_BYTES = 8 * 1024 * 1024

function expectedOf (name: string): RegExp {
  return repeatableKinds.has(name) ? /^HTTP\/1.1 200 [^]*well/ : /^HTTP\/1.1 502 [^]*may_have_run/
}

for (const [name, route] of Object.entries(routeKinds)) {
  const isStream = route.isStream === true

  describe(`a server that stops in the head of its answer: ${name}`, () => {
    for (const how of Object.values(Break)) {
      // Guards against a part of a head that becomes a whole answer with an empty or short body.
      it(`has sent no answer, whatever it sent of it: ${how}`, async t => {
        for (let length = 0; length < headLength('a', isStream); length += 1) {
          const rig = await RelayRig.start(route, stopInHead(length, how, isStream), answerWell(isStream))
          t.regex(await rig.sendRequest('a'), expectedOf(name), `${length} bytes`)
          rig.stop()
        }
      })
    }
  })

  describe(`a server that answers while it is sent the request, and resets: ${name}`, () => {
    for (const framing of Object.values(Framing)) {
      // Guards against a part of an answer that looks whole, since an error of the upload hides the reset of the answer.
      it(`has sent no whole answer: framed by ${framing}`, async t => {
        for (const afterMs of [0, 1, 20]) {
          const rig = await RelayRig.start(route)
          rig.allowBodies(UPLOAD_BYTES)
          await rig.addServer(answerPartAndReset(framing, afterMs), true)
          await rig.addServer(answerWell(isStream))
          t.regex(await rig.sendRequest('a', 'u'.repeat(UPLOAD_BYTES)), expectedOf(name), `reset after ${afterMs} ms`)
          rig.stop()
        }
      })
    }
  })
}
