import { once } from 'node:events'
import { createServer, type Server, type ServerResponse } from 'node:http'
import { connect, type AddressInfo, type Socket } from 'node:net'
import { Holding, ProcessBudget } from 'foxtaillever-policy/relay/processBudget'
import { describe, it } from 'foxtaillever-testing'
import { ChunkWork } from '../chunkWork.js'
import { RequestFeed } from '../requestFeed.js'

const MEGABYTE = 1_048_576
const REQUEST = 'GET /x HTTP/1.1\r\nHost: h\r\n\r\n'

interface Rig {
  readonly server: Server
  readonly budget: ProcessBudget
  /** Answers that are not sent yet. */
  readonly responses: ServerResponse[]
  readonly socket: Socket
  readonly text: () => string
}

async function withFeed (use: (rig: Rig) => Promise<void>): Promise<void> {
  const budget = ProcessBudget.create({ memoryBytes: MEGABYTE, heapBytes: MEGABYTE })
  const responses: ServerResponse[] = []
  const server = createServer((request, response) => {
    let body = 0
    request.on('data', (bytes: Buffer) => { body += bytes.length })
    request.on('end', () => response.setHeader('x-body', String(body)))
    responses.push(response)
  })
  RequestFeed.attach(server, { budget, chunkWork: ChunkWork.create(), onPipelinedExcess: () => {}, refuseOpenHead: () => {} })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
  let text = ''
  socket.on('data', bytes => { text += String(bytes) })
  socket.on('error', () => {})
  await once(socket, 'connect')
  await use({ server, budget, responses, socket, text: () => text })
  socket.destroy()
  server.close()
  server.closeAllConnections()
}

async function waitUntil (isDone: () => boolean): Promise<void> {
  while (!isDone()) {
    await new Promise(resolve => setTimeout(resolve, 5))
  }
}

describe('the feed of a connection', () => {
  // Guards against requests that are taken on one connection without a bound.
  it('takes four requests at a time, and the others as these are answered', async t => {
    await withFeed(async ({ responses, socket, text }) => {
      socket.write(REQUEST.repeat(40))
      await waitUntil(() => responses.length === 4)
      await new Promise(resolve => setTimeout(resolve, 50))
      t.is(responses.length, 4)
      for (let index = 0; index < 40; index += 1) {
        await waitUntil(() => responses.length > index)
        responses[index]?.end(`answer ${index};`)
      }
      await waitUntil(() => text().includes('answer 39;'))
      t.is(text().match(/answer \d+;/g)?.length, 40)
    })
  })

  it('reads requests and bodies in pieces of any length', async t => {
    await withFeed(async ({ responses, socket, text }) => {
      const bytes = `${REQUEST}POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\na\r\n\r\n\r\nbcPOST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n\r\n\r\n\r\n2\r\nab\r\n0\r\n\r\n${REQUEST}`
      for (const length of [1, 2, 3, 7, 64, bytes.length]) {
        const before = responses.length
        for (let from = 0; from < bytes.length; from += length) {
          socket.write(bytes.slice(from, from + length))
          await new Promise(resolve => setImmediate(resolve))
        }
        await waitUntil(() => responses.length === before + 4)
        await waitUntil(() => responses.slice(before).every(({ req }) => req.complete))
        responses.slice(before).forEach(response => response.end(`${length};`))
        await waitUntil(() => text().split(`${length};`).length >= 5)
        t.deepEqual(responses.slice(before).map(response => response.getHeader('x-body')).filter(size => size !== '0'), ['9', '6'])
      }
    })
  })

  // Guards against an event loop that is busy with the chunks of one body only.
  it('reads a body of many chunks in several turns of the event loop', async t => {
    await withFeed(async ({ responses, socket }) => {
      const chunks = 20_000
      let turns = 0
      const count = (): void => {
        turns += 1
        if (responses[0]?.req.complete !== true) {
          setImmediate(count)
        }
      }
      socket.write(`POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n${'1\r\n.\r\n'.repeat(chunks)}0\r\n\r\n`)
      await waitUntil(() => responses.length === 1)
      count()
      await waitUntil(() => responses[0]?.req.complete === true)
      t.true(turns >= 6 * chunks / (64 * 1024), `${turns} turns`)
      await waitUntil(() => responses[0]?.getHeader('x-body') === String(chunks))
      t.pass()
    })
  })

  // Guards against requests that run on since nothing tells that their caller left.
  it('closes all answers when a caller leaves', async t => {
    await withFeed(async ({ responses, socket }) => {
      const closed: number[] = []
      socket.write(REQUEST.repeat(4))
      await waitUntil(() => responses.length === 4)
      responses.forEach((response, index) => response.on('close', () => closed.push(index)))
      socket.destroy()
      await waitUntil(() => closed.length >= 4)
      await new Promise(resolve => setTimeout(resolve, 20))
      t.deepEqual([...closed].sort(), [0, 1, 2, 3])
    })
  })

  // Guards against reservations that outlive their connection.
  it('returns what it holds when a caller leaves', async t => {
    await withFeed(async ({ budget, responses, socket }) => {
      socket.write(`${REQUEST.repeat(6)}GET /`)
      await waitUntil(() => responses.length === 4 && budget.heldBytes(Holding.Pipelined) > 0)
      socket.destroy()
      await waitUntil(() => Object.values(Holding).every(holding => budget.heldBytes(holding) === 0))
      t.pass()
    })
  })

  // Guards against a connection that is cut although it is owed an answer, since more followed than may wait.
  it('answers what it has taken if too much follows, and closes then', async t => {
    await withFeed(async ({ responses, socket, text }) => {
      socket.write(REQUEST.repeat(5000))
      await waitUntil(() => responses.length === 4)
      responses.forEach(response => response.end('answered;'))
      await once(socket, 'close')
      t.is(responses.length, 4)
      t.is(text().match(/answered;/g)?.length, 4)
    })
  })
})
