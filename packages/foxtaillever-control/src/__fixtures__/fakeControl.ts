/**
 * A control with its configuration in memory, for tests of both sides of the
 * protocol. Publications are folded like records of the log.
 */
import type { AddressInfo } from 'node:net'
import { createHash } from 'node:crypto'
import { emptyConfiguration, Failure, FailureCode, RecordKind, SystemClock, type Configuration } from 'foxtaillever-core'
import { digestOf, foldConfiguration, FoldOutcome, PublicationOutcome, type AcceptedRevision, type InForce, type Publication, type PublicationRequest } from 'foxtaillever-fleet'
import { Left, Right, type Either } from 'purify-ts'
import type { Control } from '../protocol/control.js'
import { createFigures, type Figures } from '../protocol/figures.js'
import { OrderState, type OrderProgress, type ServerOrder } from '../protocol/orders.js'
import { MemberCondition, type AccountView, type ConfigurationView, type Dump, type Explanation, type MemberView, type ServerView } from '../protocol/views.js'
import { createControlServer } from '../server/createControlServer.js'
import { Operators } from '../server/operators.js'

export class FakeControl implements Control {
  currentConfiguration: Configuration = emptyConfiguration
  history: AcceptedRevision[] = []
  memberViews: readonly MemberView[] = []
  explanations = new Map<string, Explanation>()
  accountFigures = new Map<string, Figures>()
  givenOrders: OrderProgress[] = []
  laggingInstances: readonly string[] = []

  private constructor (readonly name: string) {}

  static create (name: string): FakeControl {
    return new FakeControl(name)
  }

  configuration (): Either<Failure, ConfigurationView> {
    return Right({ configuration: this.currentConfiguration, offset: this.currentConfiguration.revision, digest: digestOf(this.currentConfiguration), history: this.history })
  }

  async publish ({ base, author, changes }: PublicationRequest): Promise<Either<Failure, Publication>> {
    const offset = this.currentConfiguration.revision + 1
    const step = foldConfiguration(this.currentConfiguration, { id: String(offset), kind: RecordKind.Configuration, writtenAt: 0, appendedAt: 0, offset, body: { base, author, changes } })
    const accepted = step.outcome === FoldOutcome.Accepted
    this.currentConfiguration = step.configuration
    if (accepted) {
      this.history.push({ revision: offset, author, id: String(offset) })
    }
    return Right({
      outcome: accepted ? PublicationOutcome.Accepted : PublicationOutcome.Refused,
      id: String(offset),
      revision: this.currentConfiguration.revision,
      author: this.history.at(-1)?.author ?? '',
      message: accepted ? `Revision ${offset} is accepted.` : 'Another change was first.'
    })
  }

  async waitInForce (revision: number): Promise<InForce> {
    return { revision, live: this.memberViews.length, inForce: this.memberViews.length - this.laggingInstances.length, missing: this.laggingInstances }
  }

  members (): readonly MemberView[] {
    return this.memberViews
  }

  servers (): readonly ServerView[] {
    return Object.values(this.currentConfiguration.servers).map(({ name, kind, failureDomain, address, state, slots }) =>
      ({ name, kind, failureDomain, address, state, slots, ready: true, reason: '', running: 0, incarnation: '', share: 1 }))
  }

  accounts (): readonly AccountView[] {
    return Object.values(this.currentConfiguration.accounts).map(({ name, priority, weight, tokensPerSecond, concurrentRequests }) =>
      ({ name, priority, weight, waiting: 0, running: 0, tokensPerSecondLimit: tokensPerSecond, concurrentRequestsLimit: concurrentRequests }))
  }

  async figures (account?: string): Promise<Either<Failure, Figures>> {
    return Right(this.accountFigures.get(account ?? '') ?? createFigures(0, 0))
  }

  async giveOrder (order: ServerOrder): Promise<Either<Failure, OrderProgress>> {
    const progress = { id: String(this.givenOrders.length + 1), order, state: OrderState.Waiting, changedAt: 0, message: 'Waits for the lease.' }
    this.givenOrders.push(progress)
    return Right(progress)
  }

  orders (): readonly OrderProgress[] {
    return this.givenOrders
  }

  dump (): Dump {
    return { name: this.name, failureDomain: 'recife', takenAt: 0, parts: { configuration: { revision: this.currentConfiguration.revision } }, leftOut: {} }
  }

  explain (requestId: string): Either<Failure, Explanation> {
    const explanation = this.explanations.get(requestId)
    return explanation ? Right(explanation) : Left(Failure.notRun(FailureCode.BadRequest, 'This instance has no record of the request.'))
  }
}

export interface ServedControl {
  readonly address: string
  readonly close: () => void
}

/** Serves a control on a free port. @param tokens of operators, by name. */
export async function serveControl (control: Control, tokens: Readonly<Record<string, string>>): Promise<ServedControl> {
  const operators = Object.entries(tokens).map(([name, token]) => ({ name, tokenDigests: [createHash('sha256').update(token).digest('hex')] }))
  const server = createControlServer(control, SystemClock.create(), Operators.create(operators))
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as AddressInfo
  const address = `127.0.0.1:${port}`
  if (control instanceof FakeControl) {
    control.memberViews = [...control.memberViews, { name: control.name, failureDomain: 'recife', state: MemberCondition.Live, controlAddress: address, revision: control.currentConfiguration.revision, heardAt: 0 }]
  }
  return { address, close: () => { server.close(); server.closeAllConnections() } }
}
