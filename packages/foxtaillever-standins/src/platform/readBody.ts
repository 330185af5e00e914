import type { IncomingMessage } from 'node:http'

/** Reads the whole body of a request. */
export async function readBody (request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = []
  for await (const chunk of request) {
    chunks.push(chunk as Buffer)
  }
  return Buffer.concat(chunks)
}
