/**
 * Creates an HTTP server for the control procedures, for instances and tests.
 */
import type { Server } from 'node:http'
import { createHTTPServer } from '@trpc/server/adapters/standalone'
import type { Clock } from 'foxtaillever-core'
import type { Control } from '../protocol/control.js'
import { CONTROL_PATH, controlRouter, createControlContext } from './controlRouter.js'
import type { Operators } from './operators.js'

/** Enough for ten thousand changes of a few hundred bytes. */
const MAX_BODY_BYTES = 8 * 1024 * 1024

export function createControlServer (control: Control, clock: Clock, operators: Operators): Server {
  return createHTTPServer({
    router: controlRouter,
    basePath: `${CONTROL_PATH}/`,
    maxBodySize: MAX_BODY_BYTES,
    createContext: ({ req }) => createControlContext(control, clock, operators, req.headers.authorization)
  }) as Server
}
