/**
 * A holder told of forty engines one by one, in beats that name all servers: its
 * link of 7 Mbit/s was full for seconds, its orders got no answer, and the others
 * kept sending requests to engines that refused them.
 */
import { hashNumber } from 'foxtaillever-core'
import { describe, it } from 'foxtaillever-testing'
import { unpackDatagram } from '../datagram.js'
import { readPeerMessage } from '../peerMessage.js'
import { readReadNotice } from '../readNotice.js'
import { encodeWeightsNotice, MOST_IN_NOTICE, readWeightsNotice } from '../weightsNotice.js'

/** What a frame of an Ethernet holds besides the headers of IP and UDP. */
const FRAME_BYTES = 1472

const news = Array.from({ length: MOST_IN_NOTICE }, (_, index) => ({ server: hashNumber(`i-5ad53fab${10 + index}`), model: 'model51000', version: 12, changingMs: 2500 }))

const notice = { news, lease: { offset: 1000, holder: 'front-petrolina-22', ageMs: 120 } }

describe('the word of engines that change', () => {
  it('fits into a frame and comes as it was sent', t => {
    const bytes = encodeWeightsNotice(notice)
    t.true(bytes.length <= FRAME_BYTES)
    t.deepEqual(unpackDatagram(bytes).chain(readWeightsNotice).extract(), notice)
  })

  it('is not taken for another message', t => {
    const wire = unpackDatagram(encodeWeightsNotice(notice))
    t.true(wire.isJust())
    t.true(wire.chain(readPeerMessage).isNothing())
    t.true(wire.chain(readReadNotice).isNothing())
  })
})
