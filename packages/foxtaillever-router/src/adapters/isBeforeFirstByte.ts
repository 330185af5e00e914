/**
 * Errors of a connection that was never established, so that no byte of the
 * request was sent. After any other error the server may have read the request.
 */
const connectErrorCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT', 'EADDRNOTAVAIL'])

export function isBeforeFirstByte (error: unknown): boolean {
  return connectErrorCodes.has((error as { code?: string }).code ?? '')
}
