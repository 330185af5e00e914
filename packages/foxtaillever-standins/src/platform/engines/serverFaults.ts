/** What a stand-in server does wrong; each fault is taken by one request. */
export enum ServerFault {
  /** The process ends in the middle of an answer and starts again under another id. */
  Crash = 'crash',
  /** The connection ends in the middle of an answer. */
  Truncate = 'truncate',
  /** A second answer follows a complete one. */
  ExtraAnswer = 'extra-answer',
  /** Bytes come that are no answer. */
  Garbage = 'garbage',
  /** The answer bears another request's id. */
  Foreign = 'foreign',
  /** The request is never read. */
  Silent = 'silent',
  /** The answer stops in the middle and its connection stays open. */
  Hang = 'hang',
  /** The request runs and its answer is lost. */
  AnswerLost = 'answer-lost'
}
