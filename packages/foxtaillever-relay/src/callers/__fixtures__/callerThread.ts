/** A thread that sends requests, each on a new connection, also while the event loop of the process under test is blocked. */
import { connect } from 'node:net'
import { once } from 'node:events'
import { fileURLToPath } from 'node:url'
import { isMainThread, parentPort, Worker } from 'node:worker_threads'

export interface CallerOrder {
  readonly port: number
  readonly connections: number
  /** What each connection sends. */
  readonly bytes: string
}

/** How one connection ended. */
export interface CallerResult {
  /** All bytes that the caller received. */
  readonly answer: string
  /** From the last byte that was sent to the end of the connection, milliseconds. */
  readonly openMs: number
}

/** Whether the caller has all bytes of one answer. */
export function isWhole ({ answer }: CallerResult): boolean {
  const [head = '', body] = answer.split('\r\n\r\n', 2)
  return head.startsWith('HTTP/1.1 ') && Buffer.byteLength(body ?? '') === Number(/content-length: (\d+)/i.exec(head)?.[1])
}

export class CallerThread {
  private constructor (private readonly worker: Worker) {}

  static async start (): Promise<CallerThread> {
    const worker = new Worker(fileURLToPath(import.meta.url))
    await once(worker, 'online')
    return new CallerThread(worker)
  }

  /** The thread gets the order although the event loop of this one is blocked afterwards. */
  async send (order: CallerOrder): Promise<readonly CallerResult[]> {
    const results = once(this.worker, 'message')
    this.worker.postMessage(order)
    return (await results)[0] as readonly CallerResult[]
  }

  async stop (): Promise<void> {
    await this.worker.terminate()
  }
}

async function callOnce ({ port, bytes }: CallerOrder): Promise<CallerResult> {
  const socket = connect(port, '127.0.0.1')
  const chunks: Buffer[] = []
  let sentAt = performance.now()
  socket.on('data', (chunk: Buffer) => chunks.push(chunk))
  // A reset shows as an answer that is not whole.
  socket.on('error', () => {})
  socket.write(bytes, () => { sentAt = performance.now() })
  await new Promise(resolve => socket.once('close', resolve))
  return { answer: Buffer.concat(chunks).toString(), openMs: performance.now() - sentAt }
}

if (!isMainThread) {
  parentPort?.on('message', async (order: CallerOrder) => {
    parentPort?.postMessage(await Promise.all(Array.from({ length: order.connections }, async () => await callOnce(order))))
  })
}
