/**
 * How answers of engines are read. They need no stamp, since a stream is complete
 * only with its last event. A refusal is read to its end for its reason.
 */
import type { AnswerWire } from 'foxtaillever-relay/model/wire'

export const engineWire: AnswerWire = {
  notRunStatuses: new Set(),
  readMarks: () => ({ requestId: undefined, isStamped: true, isNotRun: false, serverId: undefined, weightsVersion: undefined, isEventStream: true }),
  passHeaders: rawHeaders => [...rawHeaders]
}
