/**
 * Errors of a connection that was never made: no byte of the request can have
 * left. Any other error may have come after the backend server read it.
 */
const codes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT', 'EADDRNOTAVAIL'])

export function isBeforeFirstByte (error: unknown): boolean {
  return codes.has((error as { code?: string }).code ?? '')
}
