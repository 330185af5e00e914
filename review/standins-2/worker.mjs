/**
 * Stand-in of a worker (PROTOCOL.md, "Workers" and "Service discovery") on a loopback address. It registers in the store,
 * checks `X-Expect-Instance` and `X-Expect-Version`, runs as many requests at once as it has slots, lets some wait, and
 * rejects further ones with `X-Not-Executed`. A plain worker answers with a short body, a model worker with a stream of
 * events. A crash closes all its connections; some seconds later it is back at its address as a new incarnation.
 */
import { randomBytes } from 'node:crypto'
import { createServer } from 'node:http'

export class Worker {
  /** Requests that began to run, with what is needed to judge them. */
  runs = []
  crashes = []
  sockets = new Set()
  running = 0
  queue = []
  version = 1
  sequence = 0
  isBusy = false
  highestFence = -1

  /**
   * @param options `store`, `host`, `service`, `zone`, `slots`, `queue`, `heartbeatMs`, `workMs`; for a model worker `model`,
   * `events` and `pauseMs`; `crashesOn` tells whether a request crashes it, `crashAfterMs` how long after it began to run,
   * `answersFirst` whether it answers until then, `spoils` whether it spoils the next answer, `isNamed` whether the
   * operator has named a version and `loadMs` how long a worker loads it, and `backAfterMs` when it is back; `note` writes a line of the record.
   */
  constructor (options) {
    this.options = options
  }

  async start () {
    this.id = `i-${randomBytes(4).toString('hex')}`
    this.server = createServer((request, response) => {
      this.handle(request, response).catch(() => response.destroy())
    })
    this.server.keepAliveTimeout = 20_000
    this.server.on('connection', socket => {
      this.sockets.add(socket)
      socket.on('error', () => {})
      socket.on('close', () => this.sockets.delete(socket))
    })
    await new Promise(resolve => this.server.listen(this.port ?? 0, this.options.host, resolve))
    this.port = this.server.address().port
    this.address = `${this.options.host}:${this.port}`
    this.isUp = true
    this.beat()
    this.beats = setInterval(() => this.beat(), this.options.heartbeatMs)
  }

  beat () {
    const { store, service, zone, slots, model } = this.options
    this.beatNumber = (this.beatNumber ?? 0) + 1
    const models = model === undefined ? {} : { stage: 'both', models: [{ name: model, version: this.version, adapters: [] }] }
    store.put('keyed.servers', this.id, { service, address: this.address, zone, version: 'v1', slots, state: 'ready', cold_left_ms: 0, ...models, seq: this.beatNumber })
  }

  /** Ends as a process does that crashes, and is back later. Its entry is removed after three intervals of silence. */
  crash (reason) {
    if (!this.isUp) {
      return
    }
    const { store, heartbeatMs, backAfterMs, note } = this.options
    const { id } = this
    note(`worker ${id} crashes: ${reason}`)
    this.crashes.push({ id, at: Date.now(), reason })
    this.stop()
    setTimeout(() => store.put('keyed.servers', id, undefined), 3 * heartbeatMs)
    setTimeout(() => {
      this.start().then(() => note(`worker ${id} is back as ${this.id}`), () => {})
    }, backAfterMs)
  }

  stop () {
    this.isUp = false
    clearInterval(this.beats)
    this.server.close()
    this.sockets.forEach(socket => socket.destroy())
    this.running = 0
    this.queue = []
    this.sequence = 0
    this.isBusy = false
    this.highestFence = -1
  }

  async handle (request, response) {
    const { health = '/health', slots, queue } = this.options
    const { id } = this
    const chunks = []
    for await (const chunk of request) {
      chunks.push(chunk)
    }
    const requestId = request.headers['x-request-id']
    const refuse = (status, headers = {}) => response.writeHead(status, { ...(requestId === undefined ? {} : { 'X-Request-Id': requestId }), 'X-Not-Executed': '1', 'Content-Length': 0, ...headers }).end()
    const expected = request.headers['x-expect-instance']
    if (expected !== undefined && expected !== id) {
      refuse(421, { 'X-Instance-Id': id })
      return
    }
    if (request.url === health) {
      response.writeHead(200, { 'X-Instance-Id': id, 'Content-Length': 0 }).end()
      return
    }
    if (request.url === '/report') {
      const { model } = this.options
      const body = JSON.stringify({ stage: 'both', models: model === undefined ? [] : [{ name: model, version: this.version, adapters: [] }], busy: this.isBusy, seq: this.sequence, queued: this.queue.length, active: this.running, kv_used: 0, kv_total: 100_000, handles: 0 })
      response.writeHead(200, { 'Content-Type': 'application/json', 'Content-Length': body.length }).end(body)
      return
    }
    if (request.method === 'POST' && request.url === '/order') {
      response.writeHead(this.handleOrder(JSON.parse(Buffer.concat(chunks).toString())), { 'Content-Length': 0 }).end()
      return
    }
    if (request.url.startsWith('/kv-events')) {
      const body = JSON.stringify({ boot_epoch: 1, next: 0, lost: false, events: [] })
      setTimeout(() => response.writeHead(200, { 'Content-Type': 'application/json', 'Content-Length': body.length }).end(body), 800)
      return
    }
    if (requestId === undefined) {
      refuse(400)
      return
    }
    const wantedVersion = request.headers['x-expect-version']
    if (wantedVersion !== undefined && Number(wantedVersion) !== this.version) {
      refuse(421, { 'X-Instance-Id': id, 'X-Weight-Versions': this.version })
      return
    }
    if (this.isBusy || (this.running >= slots && this.queue.length >= queue)) {
      refuse(503)
      return
    }
    const job = { request, response, body: Buffer.concat(chunks), requestId, isGone: false }
    response.on('close', () => { job.isGone = true })
    this.queue.push(job)
    this.next()
  }

  /** Returns the status of the answer to an order to load weights. */
  handleOrder ({ op, model, version, holder, fence, expect }) {
    const { note, isNamed = () => false, loadMs = 420 } = this.options
    const { id } = this
    note(`worker ${id} gets an order of ${holder} with fence ${fence}: ${op} ${version}`)
    if (op !== 'version' || model !== this.options.model || holder === undefined || fence === undefined || !isNamed(version)) {
      return 400
    }
    if (fence < this.highestFence) {
      return 412
    }
    this.highestFence = fence
    if (this.isBusy || (expect !== undefined && expect !== this.sequence)) {
      return 409
    }
    if (version === this.version) {
      return 200
    }
    this.sequence += 1
    this.isBusy = true
    setTimeout(() => {
      if (this.id === id) {
        this.isBusy = false
        this.version = version
        this.beat()
        this.next()
      }
    }, loadMs)
    return 202
  }

  next () {
    const { slots } = this.options
    while (this.isUp && !this.isBusy && this.running < slots && this.queue.length > 0) {
      const job = this.queue.shift()
      if (!job.isGone) {
        this.running += 1
        this.run(job).catch(() => {}).finally(() => {
          this.running = Math.max(0, this.running - 1)
          this.next()
        })
      }
    }
  }

  async run ({ request, response, body, requestId }) {
    const { id } = this
    const { workMs, crashesOn = () => false, crashAfterMs = 5, answersFirst = false, model, events = () => 12, pauseMs = 20, spoils = () => false, note } = this.options
    this.runs.push({ id, requestId, at: Date.now(), path: request.url, method: request.method, tenant: request.headers['x-tenant'], body })
    const pause = ms => new Promise(resolve => setTimeout(resolve, ms))
    const isCrashing = crashesOn(request, body)
    if (isCrashing) {
      note(`worker ${id} runs ${requestId} ${request.method} ${request.url}`)
      setTimeout(() => {
        if (this.id === id) {
          this.crash(`it runs ${requestId}`)
        }
      }, crashAfterMs)
      if (!answersFirst) {
        return
      }
    }
    await pause(workMs)
    if (this.id !== id || !this.isUp || response.destroyed) {
      return
    }
    const headers = { 'X-Request-Id': requestId, 'X-Server-Stamp': `stamp.${id}.${requestId}` }
    if (model === undefined) {
      const text = Buffer.from(`done ${requestId}\n`.padEnd(800, '.'))
      if (spoils()) {
        note(`worker ${id} spoils one bit of its answer to ${requestId}`)
        this.writeSpoiled(response, { ...headers, 'Content-Length': text.length }, text)
        return
      }
      response.writeHead(200, { ...headers, 'Content-Length': text.length }).end(text)
      return
    }
    const statedVersion = spoils() ? this.spoiledVersion(requestId) : this.version
    response.writeHead(200, { ...headers, 'Content-Type': 'text/event-stream', 'X-Weight-Versions': statedVersion })
    const resumedAfter = Number(request.headers['last-event-id'] ?? 0)
    for (let number = resumedAfter + 1; number <= events(request) && !response.destroyed; number += 1) {
      response.write(`id: ${number}\ndata: token ${number} of ${requestId}\n\n`)
      await pause(pauseMs)
    }
    response.end()
  }

  /** The version as text, with one wrong bit: the second one of its last digit. */
  spoiledVersion (requestId) {
    const text = Buffer.from(String(this.version))
    text[text.length - 1] ^= 2
    this.options.note(`worker ${this.id} spoils one bit of its answer to ${requestId}: weights ${text} for ${this.version}`)
    return text.toString()
  }

  /** Writes an answer whose status line has one wrong bit, the second one of the digit 2 in "200", and ends the channel. */
  writeSpoiled ({ socket }, headers, body) {
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join('')
    socket.end(Buffer.concat([Buffer.from(`HTTP/1.1 000 OK\r\n${lines}\r\n`), body]))
  }
}
