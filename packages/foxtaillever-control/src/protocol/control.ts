/**
 * Operations that an entry instance offers to operators. The instance implements
 * them, this package's router serves them on a port, and the client calls them.
 */
import type { Failure } from 'foxtaillever-core'
import type { InForce, Publication, PublicationRequest } from 'foxtaillever-fleet'
import type { Either } from 'purify-ts'
import type { Figures } from './figures.js'
import type { OrderProgress, ServerOrder } from './orders.js'
import type { AccountView, ConfigurationView, Dump, Explanation, MemberView, ServerView } from './views.js'

export interface Control {
  configuration: () => Either<Failure, ConfigurationView>
  /** The answer states the outcome of the record; a failure means that no record was written. */
  publish: (order: PublicationRequest) => Promise<Either<Failure, Publication>>
  /** Answers when all live instances have the revision in force, at the latest at the deadline. */
  waitInForce: (revision: number, deadline: number) => Promise<InForce>
  /** Entry instances that this instance knows, including itself. */
  members: () => readonly MemberView[]
  servers: () => readonly ServerView[]
  accounts: () => readonly AccountView[]
  /** Figures of one client account, or of all. */
  figures: (account?: string) => Promise<Either<Failure, Figures>>
  giveOrder: (order: ServerOrder, author: string) => Promise<Either<Failure, OrderProgress>>
  orders: () => readonly OrderProgress[]
  dump: () => Dump
  explain: (requestId: string) => Either<Failure, Explanation>
}
