/** Finds the plain service and the declared call for a request path. */
import { Failure, FailureCode, type Configuration, type PlainCall, type PlainService } from 'foxtaillever-core'
import { Left, Right, type Either } from 'purify-ts'

export interface MatchedCall {
  readonly service: PlainService
  readonly call: PlainCall
  /** Path relative to the service's own, query included. */
  readonly path: string
  /** Whether the service itself allows the call to be repeated. */
  readonly idempotent: boolean
}

/** Whether the path is the prefix itself or lies below it. */
function isBelow (path: string, prefix: string): boolean {
  return path === prefix || path.startsWith(prefix.endsWith('/') ? prefix : `${prefix}/`) || path.startsWith(`${prefix}?`)
}

/**
 * Whether the path has "." or ".." segments. Such a path is refused: it would
 * match the declaration of one call and reach another, so an export could pass
 * for a lookup.
 */
function hasDotSegment (path: string): boolean {
  const bare = path.split('?')[0] ?? ''
  return bare.split('/').some(segment => ['.', '..'].includes(decodeDots(segment)))
}

function decodeDots (segment: string): string {
  return segment.replaceAll(/%2e/gi, '.')
}

function unknown (message: string): Either<Failure, MatchedCall> {
  return Left(Failure.notRun(FailureCode.UnknownRoute, message))
}

export function matchCall (configuration: Configuration, method: string, url: string): Either<Failure, MatchedCall> {
  if (hasDotSegment(url)) {
    return Left(Failure.notRun(FailureCode.BadRequest, 'The path may not step upwards.'))
  }
  const service = Object.values(configuration.services).find(candidate => isBelow(url, candidate.path))
  if (!service) {
    return unknown('No plain service has this path.')
  }
  const path = url.slice(service.path.length) || '/'
  const call = service.calls.find(candidate => candidate.method === method && isBelow(path, candidate.path))
  if (!call) {
    return unknown(`Service ${service.name} has no such call.`)
  }
  return Right({ service, call, path, idempotent: call.idempotent })
}
