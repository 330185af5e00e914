import { connectSlowly, describe, it } from 'foxtaillever-testing'
import { RelayRig, type LogLine } from '../../__fixtures__/relayRig.js'
import { wholeAnswer } from '../../__fixtures__/scriptedServer.js'

const SENTENCE = 'callers: A connection closed before its answer was written out.'

async function settle (): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, 20))
}

/** The line about an answer whose caller closes its connection, after it has read the answer or before. */
async function closeAfter (isRead: boolean): Promise<LogLine | undefined> {
  const rig = await RelayRig.start({}, arrival => arrival.socket.write(wholeAnswer(arrival, 'hello')))
  const connection = await connectSlowly(rig.address, async () => await rig.sendRequest('first'))
  connection.sendRequest('/p', { host: 'h', 'request-id': 'slow' })
  while (connection.held === 0) {
    await settle()
  }
  await rig.clock.advanceBy(500)
  if (isRead) {
    connection.startReading()
    await settle()
  }
  connection.destroy()
  await settle()
  rig.stop()
  return rig.lines.find(({ msg }) => msg === SENTENCE)
}

// Guards against a caller without its answer of which the log says that it was answered.
describe('the connection of a caller that closes', () => {
  it('before the complete answer was written out is logged', async t => {
    t.like(await closeAfter(false), { request: 'slow', completeForMs: 500 })
  })

  it('after the answer was written out is not logged', async t => {
    t.is(await closeAfter(true), undefined)
  })
})
