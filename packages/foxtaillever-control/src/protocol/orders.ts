/**
 * Orders to backend servers. Each names a wanted state; the actual state is
 * polled and corrected until both agree.
 */
export enum OrderKind {
  LoadWeights = 'load-weights',
  LoadAdapter = 'load-adapter',
  SetVersion = 'set-version',
  SetRole = 'set-role'
}

export interface ServerOrder {
  readonly kind: OrderKind
  readonly server: string
  readonly model: string
  /** The version, adapter or role that is wanted. */
  readonly value: string
}

export enum OrderState {
  /** Waits for the lease or for the weight store. */
  Waiting = 'waiting',
  Sent = 'sent',
  /** The backend server has reported the wanted state. */
  Done = 'done',
  Failed = 'failed'
}

export interface OrderProgress {
  readonly id: string
  readonly order: ServerOrder
  readonly state: OrderState
  /** Milliseconds of Unix time. */
  readonly changedAt: number
  readonly message: string
}
