/** Reads the bodies of callers' requests, each up to its limit, and all of them within the budget of the process. */
import type { IncomingMessage } from 'node:http'
import type { Clock } from 'foxtaillever-core'
import { holdingOfBody, type Reservation } from 'foxtaillever-policy/relay/processBudget'
import { boundBody, hasBody, type BodyExcess } from '../servers/byteBounds.js'
import { ByteCollector } from '../servers/byteCollector.js'
import { IncompleteBodies, type IncompleteBody } from './incompleteBodies.js'

/** How one body is read; one of the listeners is called at most, and none if its caller leaves. */
export interface BodyReading {
  readonly maxBytes: number
  /** When the body must be complete, milliseconds of Unix time. */
  readonly deadline: number
  /** What the request's body holds until the request is answered. */
  readonly held: Reservation
  readonly onBody: (body: Buffer) => void
  readonly onTooLarge: () => void
  /** The process has no room for the body, or needs the room for others. */
  readonly onNoRoom: () => void
  /** The connection was closed, since the body did not end in time. */
  readonly onExcess: (excess: BodyExcess) => void
}

export class BodyReader {
  private readonly bodies: IncompleteBodies

  private constructor (private readonly clock: Clock) {
    this.bodies = IncompleteBodies.create(clock)
  }

  static create (clock: Clock): BodyReader {
    return new BodyReader(clock)
  }

  read (request: IncomingMessage, { maxBytes, deadline, held, onBody, onTooLarge, onNoRoom, onExcess }: BodyReading): void {
    const length = Number(request.headers['content-length'] ?? 0)
    if (length > maxBytes) {
      onTooLarge()
      return
    }
    const body = ByteCollector.create(length)
    let isOver = false
    const end = (): void => {
      isOver = true
      this.bodies.delete(incomplete)
    }
    const giveUp = (report: () => void): void => {
      // It may have been abandoned to make room for its own further bytes.
      if (!isOver) {
        end()
        body.clear()
        held.release()
        report()
      }
    }
    const incomplete: IncompleteBody = { receivedBytes: () => body.length, reservedBytes: () => held.bytes, abandon: () => giveUp(onNoRoom) }
    if (!this.reserve(held, length)) {
      giveUp(onNoRoom)
      return
    }
    if (hasBody(request)) {
      this.bodies.add(incomplete)
      boundBody(request, { clock: this.clock, maxBytes: Infinity, deadline }, excess => {
        end()
        onExcess(excess)
      })
    }
    request.on('data', (chunk: Buffer) => {
      if (isOver) {
        return
      }
      body.add(chunk)
      if (body.length > maxBytes) {
        giveUp(onTooLarge)
      } else if (body.capacity > held.bytes && !this.reserve(held, body.capacity)) {
        giveUp(onNoRoom)
      }
    })
    request.on('end', () => {
      if (!isOver) {
        end()
        onBody(body.bytes)
      }
    })
    // The caller closed the connection while it was sending; nothing can be answered.
    request.on('error', end)
    request.on('close', end)
  }

  /** Reserves the bytes, in the place of a body that makes room for them if need be. */
  private reserve (held: Reservation, bytes: number): boolean {
    const resize = (): boolean => held.resize(bytes, holdingOfBody(bytes))
    return resize() || (this.bodies.abandonSlowest() && resize())
  }
}
