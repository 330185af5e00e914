/**
 * Serves the store model on a loopback address. Several servers may serve one
 * store, each with its own faults, so that some callers are refused while others
 * are served.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { waitUntil, type Clock } from 'foxtaillever-core'
import { readBody } from '../readBody.js'
import type { AppendConditions, Partition } from './partition.js'
import { frameRecords, splitRecords } from './recordFrames.js'
import { AppendFault, createStoreFaults, StoreMode, type StoreFaults } from './storeFaults.js'
import { OPERATORS_TOPIC, SERVERS_TOPIC, type StoreModel } from './storeModel.js'

/** Items in a page of newest records. */
const PAGE_ITEMS = 500

const readOnlyTopics = new Set([OPERATORS_TOPIC, SERVERS_TOPIC])

interface Answer {
  readonly status: number
  readonly body: Buffer
}

function json (status: number, body: object): Answer {
  return { status, body: Buffer.from(JSON.stringify(body)) }
}

function numberOf (query: URLSearchParams, name: string): number | undefined {
  const text = query.get(name)
  return text === null ? undefined : Number(text)
}

function conditionsOf (query: URLSearchParams): AppendConditions {
  const producer = query.get('producer')
  return {
    at: numberOf(query, 'at'),
    mark: producer === null ? undefined : { producer, epoch: numberOf(query, 'boot_epoch') ?? 0, sequence: numberOf(query, 'seq') ?? 0 }
  }
}

export class StoreServer {
  readonly faults: StoreFaults = createStoreFaults()
  /** Calls by path since the start. */
  readonly calls = new Map<string, number>()
  private readonly server: Server
  private readonly handlers: Readonly<Record<string, (query: URLSearchParams, body: Buffer) => Promise<Answer> | Answer>>

  private constructor (private readonly model: StoreModel, private readonly clock: Clock) {
    this.handlers = {
      '/log-append': (query, body) => this.append(query, body),
      '/log-read': async query => await this.read(query),
      '/log-newest': query => this.newest(query),
      '/log-trim': query => this.trim(query)
    }
    this.server = createServer((request, response) => {
      this.handleRequest(request, response).catch((error: Error) => response.destroy(error))
    })
  }

  static create (model: StoreModel, clock: Clock): StoreServer {
    return new StoreServer(model, clock)
  }

  /** Returns the address, with a port from the system. */
  async listen (host = '127.0.0.1'): Promise<string> {
    await new Promise<void>(resolve => this.server.listen(0, host, resolve))
    return `${host}:${(this.server.address() as AddressInfo).port}`
  }

  /** Sets the mode; resetting closes open connections. */
  setMode (mode: StoreMode): void {
    this.faults.mode = mode
    if (mode === StoreMode.Resetting) {
      this.disconnect()
    }
  }

  /** Resets all connections. */
  disconnect (): void {
    this.server.closeAllConnections()
  }

  close (): void {
    this.server.close()
    this.server.closeAllConnections()
  }

  private async handleRequest (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { pathname, searchParams } = new URL(request.url ?? '', 'http://store')
    this.calls.set(pathname, (this.calls.get(pathname) ?? 0) + 1)
    const body = await readBody(request)
    const { mode, slownessMs } = this.faults
    if (mode === StoreMode.Silent) {
      return
    }
    if (mode === StoreMode.Resetting || this.model.isUnreachable) {
      request.socket.destroy()
      return
    }
    await waitUntil(this.clock, this.clock.now() + slownessMs)
    const answer = await this.answer(pathname, searchParams, body)
    // The mode may have changed while the call was held; the new mode applies.
    if (answer && this.faults.mode === StoreMode.Up) {
      response.writeHead(answer.status, { ...this.eraHeader(), 'Content-Length': answer.body.length })
      response.end(answer.body)
    } else if (this.faults.mode === StoreMode.Refusing) {
      response.writeHead(503, this.eraHeader()).end()
    }
  }

  private eraHeader (): Record<string, string> {
    return this.faults.sendsEra ? { 'Store-Era': String(this.model.era) } : {}
  }

  /** Undefined when the answer is lost. */
  private async answer (path: string, query: URLSearchParams, body: Buffer): Promise<Answer | undefined> {
    const handler = this.handlers[path]
    if (this.faults.mode === StoreMode.Refusing || !handler) {
      return json(handler ? 503 : 404, {})
    }
    const fault = path === '/log-append' ? this.faults.appends.shift() : undefined
    if (fault === AppendFault.Late) {
      this.clock.at(this.clock.now() + this.faults.lateMs, () => { this.append(query, body) })
      return undefined
    }
    const answer = await handler(query, body)
    return fault === AppendFault.AnswerLost ? undefined : answer
  }

  private append (query: URLSearchParams, body: Buffer): Answer {
    const topic = query.get('topic') ?? ''
    if (readOnlyTopics.has(topic)) {
      return json(403, {})
    }
    const partition = this.model.partition(topic, numberOf(query, 'part'))
    return partition.append(splitRecords(body), conditionsOf(query), this.clock.now()).caseOf({
      Left: refusal => json(refusal.status, refusal.body),
      Right: appended => {
        this.model.wakeReaders()
        return json(200, appended)
      }
    })
  }

  private async read (query: URLSearchParams): Promise<Answer> {
    const find = (): Partition => this.model.partition(query.get('topic') ?? '', numberOf(query, 'part'))
    const from = numberOf(query, 'from') ?? 0
    await this.model.waitFor(find(), from, this.clock.now() + (numberOf(query, 'wait_ms') ?? 0))
    const partition = find()
    const records = partition.read(from)
    return records
      ? { status: 200, body: frameRecords(partition.end, partition.first, records.map(({ content }) => content)) }
      : json(410, { first: partition.first })
  }

  private newest (query: URLSearchParams): Answer {
    const partition = this.model.partition(query.get('topic') ?? '', numberOf(query, 'part'))
    const after = query.get('after') ?? ''
    const keys = [...partition.newest.keys()].sort().filter(key => key > after)
    const items = keys.slice(0, PAGE_ITEMS).map(key => {
      const { value, offset } = partition.newest.get(key) ?? { value: Buffer.alloc(0), offset: 0 }
      return { key, value: value.toString('base64'), offset }
    })
    return json(200, { items, has_more: keys.length > items.length, end: partition.end })
  }

  private trim (query: URLSearchParams): Answer {
    this.model.partition(query.get('topic') ?? '', numberOf(query, 'part')).trim(numberOf(query, 'before') ?? 0)
    return json(200, {})
  }
}
