/**
 * The procedures that instances call on each other over tRPC, for data that does
 * not fit into a datagram: the folded configuration and the table of members.
 * Calls and answers are signed, so no protected connection is needed: a forged
 * call gets no data and a forged answer is discarded.
 */
import { initTRPC, TRPCError } from '@trpc/server'
import { Packr } from 'msgpackr'
import { Maybe } from 'purify-ts'
import { z } from 'zod'
import type { Clock } from 'foxtaillever-core'
import { Permission, type KeyRing } from '../security/keyRing.js'
import { Admission, ReplayGuard, type MessageOrigin } from '../security/replayGuard.js'
import { open, seal } from '../security/seal.js'
import { packEntry } from './message.js'
import type { PeerSource } from './peers.js'

/** A signed call: identifies the caller, and has a nonce that the answer repeats. */
export interface PeerCall extends MessageOrigin {
  readonly procedure: PeerProcedure
  readonly nonce: string
  /** For `changes`: the revision that the caller has. */
  readonly revision: number
}

export enum PeerProcedure {
  Configuration = 'configuration',
  Changes = 'changes',
  Members = 'members'
}

/** A signed answer. */
export interface PeerAnswer {
  readonly nonce: string
  readonly value: unknown
}

const packr = new Packr({ useRecords: false })

const sealedMessage = z.object({ sealed: z.string() })

export function sealValue (keys: KeyRing, value: PeerCall | PeerAnswer): { sealed: string } {
  return { sealed: seal(keys, Permission.Join, packr.pack(value)).toString('base64') }
}

export function openValue<Value> (keys: KeyRing, sealed: string): Maybe<Value> {
  return open(keys, Permission.Join, Buffer.from(sealed, 'base64'))
    .chain(bytes => Maybe.encase(() => packr.unpack(bytes) as Value))
}

/** The tRPC router; mounted by the process that has the HTTP server. */
export function createPeerRouter (source: PeerSource, keys: KeyRing, clock: Clock) {
  const trpc = initTRPC.create()
  const guard = ReplayGuard.create()

  const answer = (procedure: PeerProcedure, sealed: string, value: (call: PeerCall) => unknown): { sealed: string } => {
    const call = openValue<PeerCall>(keys, sealed).extractNullable()
    if (call === null || call.procedure !== procedure || guard.admit(call, clock.now()) !== Admission.New) {
      throw new TRPCError({ code: 'UNAUTHORIZED', message: 'The call is not signed by a member, or was seen before.' })
    }
    guard.expire(clock.now())
    return sealValue(keys, { nonce: call.nonce, value: value(call) })
  }

  return trpc.router({
    configuration: trpc.procedure.input(sealedMessage).query(({ input }) => answer(PeerProcedure.Configuration, input.sealed, () => source.configuration())),
    changes: trpc.procedure.input(sealedMessage).query(({ input }) => answer(PeerProcedure.Changes, input.sealed, ({ revision }) => source.changesSince?.(revision) ?? null)),
    members: trpc.procedure.input(sealedMessage).query(({ input }) => answer(PeerProcedure.Members, input.sealed, () => source.memberEntries().map(packEntry)))
  })
}

export type PeerRouter = ReturnType<typeof createPeerRouter>
