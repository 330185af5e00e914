/**
 * What an entry instance lets operators do. The instance implements it; the
 * router of this package puts it on a port, the client calls it.
 */
import type { Failure } from 'foxtaillever-core'
import type { InForce, Publication, PublicationRequest } from 'foxtaillever-fleet'
import type { Either } from 'purify-ts'
import type { Figures } from './figures.js'
import type { OrderProgress, ServerOrder } from './orders.js'
import type { AccountView, ConfigurationView, Dump, Explanation, MemberView, ServerView } from './views.js'

export interface Control {
  configuration: () => Either<Failure, ConfigurationView>
  /** The answer says what became of the record; a failure means that none was written. */
  publish: (order: PublicationRequest) => Promise<Either<Failure, Publication>>
  /** Answers when all live instances have the revision in force, at the latest at the deadline. */
  waitInForce: (revision: number, deadline: number) => Promise<InForce>
  /** Entry instances as this one knows them, itself included. */
  members: () => readonly MemberView[]
  servers: () => readonly ServerView[]
  accounts: () => readonly AccountView[]
  /** Of one client account, or of all. */
  figures: (account?: string) => Promise<Either<Failure, Figures>>
  giveOrder: (order: ServerOrder, author: string) => Promise<Either<Failure, OrderProgress>>
  orders: () => readonly OrderProgress[]
  dump: () => Dump
  explain: (requestId: string) => Either<Failure, Explanation>
}
