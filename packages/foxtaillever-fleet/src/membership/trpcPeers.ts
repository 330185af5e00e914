/**
 * Calls other instances over tRPC.
 */
import { createTRPCClient, httpLink } from '@trpc/client'
import { Left, Right, type Either } from 'purify-ts'
import { Failure, FailureCode, type Clock, type Random } from 'foxtaillever-core'
import type { ConfigurationChanges, FoldedConfiguration } from '../configuration/foldedConfiguration.js'
import type { KeyRing } from '../security/keyRing.js'
import type { MemberEntry } from './member.js'
import { isEntry, unpackEntry } from './message.js'
import { openValue, PeerProcedure, sealValue, type PeerAnswer, type PeerCall, type PeerRouter } from './peerRouter.js'
import type { Peers } from './peers.js'

/** Path below which the peer router is mounted. */
export const PEER_PATH = '/fleet'

/** Timeout of one call, milliseconds; a slow peer must not delay a restart. */
const CALL_TIMEOUT_MS = 3000

const NONCE_BOUND = 2 ** 32

type SendCall = (sealed: { sealed: string }, signal: AbortSignal) => Promise<{ sealed: string }>

export class TrpcPeers implements Peers {
  private readonly incarnation: number
  private sequence = 0
  private received = 0

  private constructor (
    private readonly name: string,
    private readonly keys: KeyRing,
    private readonly clock: Clock,
    private readonly random: Random
  ) {
    this.incarnation = Math.floor(clock.now())
  }

  /** @param name the name of this instance. */
  static create (name: string, keys: KeyRing, clock: Clock, random: Random): TrpcPeers {
    return new TrpcPeers(name, keys, clock, random)
  }

  /** Bytes of all answers received so far. */
  receivedBytes (): number {
    return this.received
  }

  async configuration (address: string): Promise<Either<Failure, FoldedConfiguration>> {
    const client = connect(address)
    return await this.call(PeerProcedure.Configuration, (input, signal) => client.configuration.query(input, { signal }))
  }

  async changes (address: string, revision: number): Promise<Either<Failure, ConfigurationChanges>> {
    const client = connect(address)
    const answer = await this.call<ConfigurationChanges | null>(PeerProcedure.Changes, (input, signal) => client.changes.query(input, { signal }), revision)
    return answer.chain(changes => changes === null ? Left(Failure.notRun(FailureCode.Stale, 'The peer does not know changes that far back.')) : Right(changes))
  }

  async members (address: string): Promise<Either<Failure, readonly MemberEntry[]>> {
    const client = connect(address)
    const answer = await this.call<unknown[]>(PeerProcedure.Members, (input, signal) => client.members.query(input, { signal }))
    return answer.map(entries => entries.filter(isEntry).map(unpackEntry))
  }

  private async call<Value> (procedure: PeerProcedure, send: SendCall, revision = 0): Promise<Either<Failure, Value>> {
    const call = this.createCall(procedure, revision)
    try {
      const { sealed } = await send(sealValue(this.keys, call), AbortSignal.timeout(CALL_TIMEOUT_MS))
      this.received += sealed.length
      const answer = openValue<PeerAnswer>(this.keys, sealed).filter(({ nonce }) => nonce === call.nonce)
      return answer.map(({ value }) => value as Value).toEither(Failure.notRun(FailureCode.Unauthenticated, 'The answer is not signed by a member.'))
    } catch (error) {
      return Left(Failure.notRun(FailureCode.ConnectionLost, `The peer did not answer: ${String(error)}`))
    }
  }

  private createCall (procedure: PeerProcedure, revision: number): PeerCall {
    this.sequence += 1
    return {
      sender: this.name,
      incarnation: this.incarnation,
      sequence: this.sequence,
      sentAt: Math.floor(this.clock.now()),
      procedure,
      revision,
      nonce: `${this.random.below(NONCE_BOUND).toString(16)}${this.random.below(NONCE_BOUND).toString(16)}`
    }
  }
}

function connect (address: string) {
  return createTRPCClient<PeerRouter>({ links: [httpLink({ url: `http://${address}${PEER_PATH}` })] })
}
