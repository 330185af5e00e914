/**
 * A lease holder announced forty engines one by one, in heartbeats that name all
 * servers: its link of 7 Mbit/s was full for seconds, its orders got no answer, and
 * the other instances kept sending requests to engines that refused them.
 */
import { hashNumber } from 'foxtaillever-core'
import { describe, it } from 'foxtaillever-testing'
import { unpackDatagram } from '../datagram.js'
import { readPeerMessage } from '../peerMessage.js'
import { readReadNotice } from '../readNotice.js'
import { encodeWeightsNotice, MAX_ENGINES_IN_NOTICE, readWeightsNotice } from '../weightsNotice.js'

/** Payload of an Ethernet frame without the IP and UDP headers. */
const FRAME_BYTES = 1472

const updates = Array.from({ length: MAX_ENGINES_IN_NOTICE }, (_, index) => ({ server: hashNumber(`i-5ad53fab${10 + index}`), model: 'model51000', version: 12, changingMs: 2500 }))

const notice = { updates, lease: { offset: 1000, holder: 'front-petrolina-22', ageMs: 120 } }

describe('the notice of engines that change weights', () => {
  it('fits into a frame and is decoded as it was encoded', t => {
    const bytes = encodeWeightsNotice(notice)
    t.true(bytes.length <= FRAME_BYTES)
    t.deepEqual(unpackDatagram(bytes).chain(readWeightsNotice).extract(), notice)
  })

  it('is not mistaken for another message', t => {
    const wire = unpackDatagram(encodeWeightsNotice(notice))
    t.true(wire.isJust())
    t.true(wire.chain(readPeerMessage).isNothing())
    t.true(wire.chain(readReadNotice).isNothing())
  })
})
