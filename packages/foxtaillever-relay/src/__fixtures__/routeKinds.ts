/** The kinds of routes by what may be sent again, and a server that answers requests of each as it should. */
import { Repeatability, type Route } from '../model/routing.js'
import { chunk, streamHead, wholeAnswer, type Answer } from './scriptedServer.js'

export const routeKinds: Readonly<Record<string, Partial<Route>>> = {
  once: {},
  idempotent: { repeatability: Repeatability.Idempotent },
  stream: { isStream: true },
  resumable: { isStream: true, isResumable: true }
}

/** Kinds whose requests may be sent to a second server after the first one may have run them. */
export const repeatableKinds: ReadonlySet<string> = new Set(['idempotent', 'resumable'])

export function answerWell (isStream: boolean): Answer {
  return arrival => { arrival.socket.write(isStream ? `${streamHead(arrival)}${chunk('id: 1\ndata: well\n\n')}0\r\n\r\n` : wholeAnswer(arrival, 'well')) }
}
