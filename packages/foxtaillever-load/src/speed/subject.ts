/** Subjects of a measurement, each in its own process, and the messages exchanged with them. */

export enum SubjectKind {
  Upstream = 'upstream',
  Router = 'router',
  PassThrough = 'pass-through'
}

export interface SubjectSetup {
  readonly kind: SubjectKind
  /** IP address and port of the upstream; empty for the upstream itself. */
  readonly upstream: string
  readonly accounts: number
  readonly workers: number
}

export enum MessageKind {
  SetUp = 'set-up',
  Ready = 'ready',
  Measure = 'measure',
  Usage = 'usage'
}

/** Resource usage since the previous measurement. */
export interface Usage {
  readonly cpuMs: number
  /** Longest stop of the event loop, milliseconds. */
  readonly longestBlockMs: number
  readonly memoryMb: number
}

export type Message =
  | { readonly kind: MessageKind.SetUp, readonly setup: SubjectSetup }
  | { readonly kind: MessageKind.Ready, readonly address: string }
  | { readonly kind: MessageKind.Measure }
  | { readonly kind: MessageKind.Usage, readonly usage: Usage }
