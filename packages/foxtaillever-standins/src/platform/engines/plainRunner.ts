/** Runs requests as a plain server does: each takes some time in a slot, and a few may wait for one. */
import { waitUntil, type Clock } from 'foxtaillever-core'
import type { AnswerWriter } from './answerWriter.js'
import { headerOf } from './answerWriter.js'
import type { Runner } from './backendServer.js'

export interface PlainShape {
  readonly workMs: number
  /** Requests that run at the same time. */
  readonly slots: number
  /** Requests that may wait in addition to those that run. */
  readonly maxWaiting: number
  /** Bytes of each answer beside the id; a few hundred if not given. */
  readonly answerBytes?: number
}

const ANSWER_BYTES = 200

interface WaitingRequest {
  readonly requestId: string
  readonly writer: AnswerWriter
  readonly onRunStarted: () => void
}

/** The answer to each request contains its id. */
export function createPlainRunner (clock: Clock, { workMs, slots, maxWaiting, answerBytes = ANSWER_BYTES }: PlainShape): Runner {
  let waiting: WaitingRequest[] = []
  let running = 0
  let mostWaiting = maxWaiting
  let incarnation = 0
  const start = ({ requestId, writer, onRunStarted }: WaitingRequest): void => {
    const startedIn = incarnation
    running += 1
    onRunStarted()
    const body = Buffer.from(`done ${requestId} ${'.'.repeat(answerBytes)}`)
    waitUntil(clock, clock.now() + workMs).then(() => {
      if (startedIn !== incarnation) {
        return
      }
      running -= 1
      const next = waiting.shift()
      if (next) {
        start(next)
      }
      if (writer.begin(200, { 'Content-Length': body.length })) {
        writer.end(body)
      }
    }, () => {})
  }
  return {
    admit: () => undefined,
    run: (request, writer, onRunStarted) => {
      const entry = { requestId: headerOf(request, 'x-request-id'), writer, onRunStarted }
      if (running < slots) {
        start(entry)
        return true
      }
      const hasRoom = waiting.length < mostWaiting
      if (hasRoom) {
        waiting.push(entry)
      }
      return hasRoom
    },
    // A request that runs keeps its slot until it is done.
    cancel: id => { waiting = waiting.filter(({ requestId }) => requestId !== id) },
    reset: () => {
      incarnation += 1
      running = 0
      waiting = []
    },
    setMaxWaiting: count => { mostWaiting = count },
    calls: {}
  }
}
