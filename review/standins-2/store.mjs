/**
 * Stand-in of the platform's metadata store (PROTOCOL.md, "The platform's metadata store"), in its form as a log: topics
 * with offsets, conditional appends, long polls, and the newest record of each key. Kept in memory, on a loopback address.
 */
import { createServer } from 'node:http'

const ANSWER_MS = 4
const PAGE_ITEMS = 500
const OPERATOR_TOPICS = new Set(['keyed.op', 'keyed.servers'])

function frame (content) {
  const length = Buffer.alloc(4)
  length.writeUInt32BE(content.length)
  return Buffer.concat([length, content])
}

function split (bytes) {
  const contents = []
  for (let from = 0; from + 4 <= bytes.length;) {
    const end = from + 4 + bytes.readUInt32BE(from)
    contents.push(bytes.subarray(from + 4, end))
    from = end
  }
  return contents
}

function offsetBytes (value) {
  const bytes = Buffer.alloc(8)
  bytes.writeBigUInt64BE(BigInt(value))
  return bytes
}

const pause = ms => new Promise(resolve => setTimeout(resolve, ms))

export class Store {
  topics = new Map()
  waiting = new Set()
  /** How calls are answered: 'up', 'busy' (503), 'reset' or 'silent'. */
  mode = 'up'

  topic (name) {
    let topic = this.topics.get(name)
    if (!topic) {
      topic = { records: [], newest: new Map() }
      this.topics.set(name, topic)
    }
    return topic
  }

  append (name, contents) {
    const topic = this.topic(name)
    const offset = topic.records.length
    contents.forEach((content, index) => {
      topic.records.push(content)
      if (name.startsWith('keyed.')) {
        const keyEnd = 1 + content[0]
        const key = content.toString('utf8', 1, keyEnd)
        if (content.length === keyEnd) {
          topic.newest.delete(key)
        } else {
          topic.newest.set(key, { value: content.subarray(keyEnd), offset: offset + index })
        }
      }
    })
    this.waiting.forEach(wake => wake())
    return { offset, end: topic.records.length }
  }

  /** Writes a value under a key, or removes the key. */
  put (name, key, value) {
    const keyBytes = Buffer.from(key)
    this.append(name, [Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, value === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value))])])
  }

  async listen (host) {
    this.server = createServer((request, response) => {
      this.handle(request, response).catch(() => response.destroy())
    })
    this.server.keepAliveTimeout = 60_000
    await new Promise(resolve => this.server.listen(0, host, resolve))
    this.address = `${host}:${this.server.address().port}`
  }

  close () {
    this.server.close()
    this.server.closeAllConnections()
  }

  async handle (request, response) {
    const { pathname, searchParams } = new URL(request.url, 'http://store')
    const chunks = []
    for await (const chunk of request) {
      chunks.push(chunk)
    }
    if (this.mode === 'silent') {
      return
    }
    if (this.mode === 'reset') {
      request.socket.resetAndDestroy()
      return
    }
    await pause(ANSWER_MS)
    const { status, body } = this.mode === 'busy' ? { status: 503, body: Buffer.from('{}') } : await this.answer(pathname, searchParams, Buffer.concat(chunks))
    response.writeHead(status, { 'Content-Length': body.length })
    response.end(body)
  }

  async answer (path, query, body) {
    const json = (status, value) => ({ status, body: Buffer.from(JSON.stringify(value)) })
    const name = query.get('topic')
    const topic = this.topic(name)
    if (path === '/log-append') {
      const at = query.get('at')
      if (OPERATOR_TOPICS.has(name)) {
        return json(403, {})
      }
      if (at !== null && Number(at) !== topic.records.length) {
        return json(412, { end: topic.records.length })
      }
      return json(200, this.append(name, split(body)))
    }
    if (path === '/log-read') {
      const from = Number(query.get('from'))
      const until = Date.now() + Number(query.get('wait_ms') ?? 0)
      while (topic.records.length <= from && Date.now() < until) {
        await new Promise(resolve => {
          const wake = () => {
            clearTimeout(timer)
            this.waiting.delete(wake)
            resolve()
          }
          const timer = setTimeout(wake, until - Date.now())
          this.waiting.add(wake)
        })
      }
      const contents = topic.records.slice(from, from + 500)
      return { status: 200, body: Buffer.concat([offsetBytes(topic.records.length), offsetBytes(0), ...contents.map(frame)]) }
    }
    if (path === '/log-newest') {
      const after = query.get('after') ?? ''
      const keys = [...topic.newest.keys()].sort().filter(key => key > after)
      const items = keys.slice(0, PAGE_ITEMS).map(key => {
        const { value, offset } = topic.newest.get(key)
        return { key, value: value.toString('base64'), offset }
      })
      return json(200, { items, has_more: keys.length > items.length, end: topic.records.length })
    }
    return json(404, {})
  }
}
