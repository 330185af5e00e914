/** Client of the platform's list of instances over HTTP. */
import { Failure, FailureCode, isSocketAddress, ListedKind, ListedState, parseJson, type InstanceList, type ListedInstance } from 'foxtaillever-core'
import { Either, Left } from 'purify-ts'
import { array, Codec, enumeration, string, unknown } from 'purify-ts/Codec'
import type { Pool } from 'undici'
import { createPlatformPool, requestText } from './boundedAnswer.js'

const entry = Codec.interface({ name: string, kind: enumeration(ListedKind), address: string, failureDomain: string, state: enumeration(ListedState) })

/** Entries of another form name no instance; the others hold. */
function readList (text: string): Either<Failure, readonly ListedInstance[]> {
  return parseJson(text)
    .chain(value => array(unknown).decode(value))
    .map(entries => Either.rights(entries.map(value => entry.decode(value))).filter(({ address }) => isSocketAddress(address)))
    .mapLeft(reason => Failure.notRun(FailureCode.Internal, `The instance list cannot be read: ${reason.slice(0, MAX_REASON)}`))
}

/** Characters of a reason, which may quote the whole answer. */
const MAX_REASON = 200

const ANSWER_TIMEOUT_MS = 2000

export class InstanceListClient implements InstanceList {
  private constructor (private readonly pool: Pool) {}

  static create (address: string): InstanceListClient {
    return new InstanceListClient(createPlatformPool(address, 1))
  }

  async list (): Promise<Either<Failure, readonly ListedInstance[]>> {
    try {
      const { text } = await requestText(this.pool, { method: 'GET', path: '/instances' }, ANSWER_TIMEOUT_MS)
      return readList(text)
    } catch {
      return Left(Failure.notRun(FailureCode.Internal, 'The instance list does not answer.'))
    }
  }

  async close (): Promise<void> {
    await this.pool.destroy()
  }
}
