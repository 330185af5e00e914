import { describe, it } from 'foxtaillever-testing'
import { DatagramKind, packDatagram, unpackDatagram } from '../../peers/datagram.js'
import { encodeLoadMessage, readLoadMessage } from '../../peers/loadMessage.js'
import { AdmissionOutcome, encodeAdmissionMessage, readAdmissionMessage, type AdmissionMessage } from '../admissionMessage.js'

const head = { address: '10.1.17.17:7340', number: 3_000_000_000, server: 2_900_000_000 }
const request = { kind: DatagramKind.AdmissionRequest, ...head, tokens: 9190, heldTokens: 9446, priority: 3, account: 'account-017', fingerprint: 3_100_000_000, elapsedMs: 13, objectiveMs: 1215, startInMs: 1000 } as const
const messages: AdmissionMessage[] = [
  request,
  { kind: DatagramKind.AdmissionResponse, ...head, outcome: AdmissionOutcome.Rejected, retryMs: 812, backlogMs: 240 },
  { kind: DatagramKind.AdmissionCancel, ...head }
]

/** Positions of numbers that are not valid, with the value. */
const invalid: ReadonlyArray<readonly [number, unknown]> = [[1, 7], [2, NaN], [3, Infinity], [4, -1], [5, null], [6, 'x'], [7, 42], [8, undefined], [9, -Infinity], [10, NaN], [11, undefined]]

describe('datagrams of admission', () => {
  it('are read as they were encoded, in few bytes', t => {
    messages.forEach(message => t.deepEqual(unpackDatagram(encodeAdmissionMessage(message)).chain(readAdmissionMessage).extract(), message))
    t.deepEqual(messages.map(message => encodeAdmissionMessage(message).length), [59, 34, 28])
  })

  // A backlog or deadline that is not a number would make every comparison of the queue false, and hold the queue forever.
  it('with a field that is missing, not finite or of another type are not read', t => {
    const wire = unpackDatagram(encodeAdmissionMessage(request)).orDefault([])
    invalid.forEach(([index, value]) => t.true(readAdmissionMessage(wire.with(index, value)).isNothing(), `${index}`))
    t.true(readAdmissionMessage([DatagramKind.AdmissionResponse, head.address, 1, 2, 4, 0, 0]).isNothing())
    t.true(readAdmissionMessage([DatagramKind.AdmissionCancel, head.address, 1]).isNothing())
    t.true(readAdmissionMessage([DatagramKind.LoadRequest, head.address, 1, 2]).isNothing())
  })

  // Instances of the previous release send load requests without the priority during an update.
  it('of load carry the priority of the request, or none', t => {
    const query = { kind: DatagramKind.LoadRequest, address: head.address, number: 4, servers: [1, 2], levels: [3] } as const
    const positionOf = (bytes: Buffer): unknown => unpackDatagram(bytes).chain(readLoadMessage).map(message => message.kind === DatagramKind.LoadRequest ? message.position : 'none').extract()
    t.deepEqual(positionOf(encodeLoadMessage({ ...query, position: { priority: 2, account: 'a' } })), { priority: 2, account: 'a' })
    t.is(positionOf(encodeLoadMessage(query)), undefined)
    t.is(positionOf(packDatagram([query.kind, query.address, 4, [1], [], NaN, 'a'])), undefined)
  })
})
