/** Stand-in of the platform's metadata store: topics with partitions, conditional appends, keyed topics. It is sound and answers at once. */
import { createServer } from 'node:http'

const LENGTH_BYTES = 4
const MAX_ITEMS = 500

function frame (contents) {
  return Buffer.concat(contents.flatMap(content => {
    const length = Buffer.alloc(LENGTH_BYTES)
    length.writeUInt32BE(content.length)
    return [length, content]
  }))
}

function split (bytes) {
  const contents = []
  for (let from = 0; from + LENGTH_BYTES <= bytes.length;) {
    const end = from + LENGTH_BYTES + bytes.readUInt32BE(from)
    contents.push(bytes.subarray(from + LENGTH_BYTES, end))
    from = end
  }
  return contents
}

export async function readBody (message) {
  const chunks = []
  for await (const chunk of message) {
    chunks.push(chunk)
  }
  return Buffer.concat(chunks)
}

export class Store {
  constructor () {
    this.partitions = new Map()
    this.waiting = new Set()
    /** Called with topic, offset and content of each append that the system made. */
    this.onAppend = () => {}
    this.server = createServer((request, response) => {
      this.handle(request, response).catch(error => response.destroy(error))
    })
    this.server.keepAliveTimeout = 60_000
  }

  async listen (host, port) {
    await new Promise(resolve => this.server.listen(port, host, resolve))
    return `${host}:${this.server.address().port}`
  }

  close () {
    this.server.close()
    this.server.closeAllConnections()
  }

  /** Writes a record of the operator or of a worker; without a value the key is dropped. */
  put (topic, key, value) {
    const name = Buffer.from(key)
    const body = value === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value))
    this.append(`${topic}/0`, [Buffer.concat([Buffer.from([name.length]), name, body])])
  }

  partition (id) {
    if (!this.partitions.has(id)) {
      this.partitions.set(id, { records: [], newest: new Map() })
    }
    return this.partitions.get(id)
  }

  append (id, contents) {
    const { records, newest } = this.partition(id)
    const offset = records.length
    for (const content of contents) {
      if (id.startsWith('keyed.')) {
        const end = 1 + content[0]
        const key = content.toString('utf8', 1, end)
        newest.delete(key)
        if (content.length > end) {
          newest.set(key, { value: content.subarray(end), offset: records.length })
        }
      }
      records.push(content)
    }
    this.waiting.forEach(wake => wake())
    return { offset, end: records.length }
  }

  async handle (request, response) {
    const { pathname, searchParams } = new URL(request.url, 'http://store')
    const body = await readBody(request)
    const id = `${searchParams.get('topic')}/${searchParams.get('part') ?? 0}`
    const numberOf = (name, absent) => searchParams.has(name) ? Number(searchParams.get(name)) : absent
    const send = (status, content) => {
      const bytes = Buffer.isBuffer(content) ? content : Buffer.from(JSON.stringify(content))
      response.writeHead(status, { 'Content-Length': bytes.length })
      response.end(bytes)
    }
    const { records, newest } = this.partition(id)
    if (pathname === '/log-append') {
      const at = numberOf('at')
      if (/^keyed\.(op|servers)\//.test(id)) {
        send(403, {})
      } else if (at !== undefined && at !== records.length) {
        send(412, { end: records.length })
      } else {
        const contents = split(body)
        const appended = this.append(id, contents)
        this.onAppend(id, appended.offset, contents)
        send(200, appended)
      }
    } else if (pathname === '/log-read') {
      const from = numberOf('from', 0)
      const until = Date.now() + numberOf('wait_ms', 0)
      while (records.length <= from && Date.now() < until && !response.destroyed) {
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
      const head = Buffer.alloc(16)
      head.writeBigUInt64BE(BigInt(records.length), 0)
      send(200, Buffer.concat([head, frame(records.slice(from))]))
    } else if (pathname === '/log-newest') {
      const after = searchParams.get('after') ?? ''
      const keys = [...newest.keys()].sort().filter(key => key > after)
      const items = keys.slice(0, MAX_ITEMS).map(key => ({ key, value: newest.get(key).value.toString('base64'), offset: newest.get(key).offset }))
      send(200, { items, has_more: keys.length > items.length, end: records.length })
    } else {
      send(404, {})
    }
  }
}
