/** Faults of a stand-in server; each applies to one request. */
export enum ServerFault {
  /** The process ends in the middle of an answer and restarts under another id. */
  Crash = 'crash',
  /** The process ends before it sends anything of an answer that it begins. */
  CrashAtStart = 'crash-at-start',
  /** The process ends a moment after it began an answer. */
  CrashAfterStart = 'crash-after-start',
  /** The connection ends in the middle of an answer. */
  Truncate = 'truncate',
  /** A second answer follows a complete one. */
  ExtraAnswer = 'extra-answer',
  /** The server sends bytes that are not an HTTP answer. */
  Garbage = 'garbage',
  /** The answer has everything but a status that HTTP knows. */
  OddStatus = 'odd-status',
  /** The answer has another request's id. */
  Foreign = 'foreign',
  /** The request is never read. */
  Silent = 'silent',
  /** The answer stops in the middle and its connection stays open. */
  Hang = 'hang',
  /** The request runs and its answer is lost. */
  AnswerLost = 'answer-lost'
}
