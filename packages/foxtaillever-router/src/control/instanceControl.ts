/** The operations that one entry instance offers to operators. */
import {
  AdministrativeState, Failure, FailureCode,
  type Clock, type Configuration
} from 'foxtaillever-core'
import {
  MemberCondition,
  type AccountView, type ConfigurationView, type Control, type Dump, type Explanation, type Figures, type MemberView,
  type OrderProgress, type ServerOrder, type ServerView
} from 'foxtaillever-control'
import { applyChange, MemberState, type Fleet, type FleetDump, type InForce, type Publication, type PublicationRequest } from 'foxtaillever-fleet'
import { validateConfiguration } from 'foxtaillever-settings'
import { Left, Maybe, Right, type Either } from 'purify-ts'
import type { RouterCoreState } from '../core/routerCoreOptions.js'
import type { Telemetry } from '../telemetry/telemetry.js'
import { Part, type Logs } from 'foxtaillever-telemetry'
import { createDump } from './createDump.js'

/** The part of the fleet that operators can see and change. */
export type FleetSource = Pick<Fleet, 'store' | 'publish' | 'waitInForce' | 'memberEntries'> & { readonly dump: () => FleetDump }

/** Accepts orders to backend servers and reports their progress. */
export interface OrderHandler {
  submit: (order: ServerOrder, author: string) => Promise<Either<Failure, OrderProgress>>
  list: () => readonly OrderProgress[]
}

export interface InstanceControlOptions {
  readonly name: string
  readonly failureDomain: string
  readonly clock: Clock
  readonly fleet: FleetSource
  readonly core: { readonly dump: () => RouterCoreState }
  readonly telemetry: Telemetry
  readonly logs: Logs
  /** Without it, orders are refused. */
  readonly orders?: OrderHandler
}

const conditions: Record<MemberState, MemberCondition> = {
  [MemberState.Alive]: MemberCondition.Live,
  [MemberState.Suspect]: MemberCondition.Suspect,
  [MemberState.Dead]: MemberCondition.Suspect,
  [MemberState.Left]: MemberCondition.Leaving
}

export class InstanceControl implements Control {
  private constructor (private readonly options: InstanceControlOptions) {}

  static create (options: InstanceControlOptions): InstanceControl {
    return new InstanceControl(options)
  }

  private inForce (): Configuration {
    return this.options.fleet.store.configuration()
  }

  configuration (): Either<Failure, ConfigurationView> {
    const { configuration, offset, digest, history } = this.options.fleet.store.current()
    return Right({ configuration, offset, digest, history })
  }

  /** Validates the resulting configuration before it is written, since an invalid change would stay in the log. */
  async publish (order: PublicationRequest): Promise<Either<Failure, Publication>> {
    const configuration = this.inForce()
    const findings = order.base === configuration.revision ? validateConfiguration(order.changes.reduce(applyChange, configuration)) : []
    if (findings.length > 0) {
      return Left(Failure.notRun(FailureCode.BadRequest, findings.map(({ problem, mend }) => `${problem} ${mend}`).join('\n')))
    }
    const publication = await this.options.fleet.publish(order)
    this.options.logs.write('info', Part.Control, 'A change was published.', { operator: order.author, outcome: publication.outcome, revision: publication.revision })
    return Right(publication)
  }

  async waitInForce (revision: number, deadline: number): Promise<InForce> {
    return await this.options.fleet.waitInForce(revision, deadline)
  }

  members (): readonly MemberView[] {
    const { fleet, name, clock } = this.options
    const dumped = new Map(fleet.dump().members.map(member => [member.name, member]))
    return fleet.memberEntries().filter(({ state }) => state !== MemberState.Dead).map(member => {
      const isSelf = member.name === name
      const { heardAt = 0, revision = 0 } = dumped.get(member.name) ?? {}
      return {
        name: member.name,
        failureDomain: member.failureDomain,
        state: conditions[member.state],
        controlAddress: member.controlAddress,
        revision: isSelf ? this.inForce().revision : revision,
        heardAt: isSelf ? clock.now() : heardAt
      }
    })
  }

  servers (): readonly ServerView[] {
    const { servers } = this.options.core.dump().scheduler
    return Object.values(this.inForce().servers).map(({ name, kind, failureDomain, address, state, slots }) => {
      const seen = servers[name]
      const reason = reasonOf(state, seen)
      return {
        name,
        kind,
        failureDomain,
        address,
        state,
        ready: reason === '',
        reason,
        slots,
        running: seen?.outstanding ?? 0,
        incarnation: seen?.incarnation ?? '',
        share: seen ? 1 / Math.max(1, seen.slowness) : 1
      }
    })
  }

  accounts (): readonly AccountView[] {
    return Object.values(this.inForce().accounts).map(({ name, priority, weight, tokensPerSecond, concurrentRequests }) => ({
      name,
      priority,
      weight,
      ...this.options.telemetry.liveCount(name),
      tokensPerSecondLimit: tokensPerSecond,
      concurrentRequestsLimit: concurrentRequests
    }))
  }

  async figures (account?: string): Promise<Either<Failure, Figures>> {
    if (account !== undefined && !(account in this.inForce().accounts)) {
      return Left(Failure.notRun(FailureCode.BadRequest, `There is no client account "${account}": \`foxtaillever accounts\` lists them.`))
    }
    return Right(await this.options.telemetry.figures(account))
  }

  async giveOrder (order: ServerOrder, author: string): Promise<Either<Failure, OrderProgress>> {
    const { orders, logs } = this.options
    if (!orders) {
      return Left(Failure.notRun(FailureCode.BackendServerRefused, 'This instance gives no orders to backend servers.'))
    }
    if (!(order.server in this.inForce().servers)) {
      return Left(Failure.notRun(FailureCode.BadRequest, `There is no backend server "${order.server}": \`foxtaillever servers\` lists them.`))
    }
    logs.write('info', Part.Control, 'An order was given.', { operator: author, server: order.server, order: order.kind, value: order.value })
    return await orders.submit(order, author)
  }

  orders (): readonly OrderProgress[] {
    return this.options.orders?.list() ?? []
  }

  dump (): Dump {
    const { name, failureDomain, clock, fleet, core, telemetry } = this.options
    return createDump({
      name,
      failureDomain,
      takenAt: clock.now(),
      configuration: this.inForce(),
      parts: { fleet: fleet.dump(), router: core.dump(), telemetry: telemetry.dump(), orders: this.orders() }
    })
  }

  explain (requestId: string): Either<Failure, Explanation> {
    return Maybe.fromNullable(this.options.telemetry.explain(requestId))
      .toEither(Failure.notRun(FailureCode.BadRequest, 'This instance has no record of the request.'))
  }
}

type SeenServer = RouterCoreState['scheduler']['servers'][string]

/** Why a backend server gets no new work; empty when it does. */
function reasonOf (state: AdministrativeState, seen: SeenServer | undefined): string {
  if (state === AdministrativeState.Draining) {
    return 'drained by an operator'
  }
  if (seen?.leaving === true) {
    return 'leaving'
  }
  return seen !== undefined && seen.probeAt > 0 ? 'set aside as slow or failing' : ''
}
