/** Listens, prints the address and serves until told to stop. */
import type { FastifyInstance } from 'fastify'

export async function serve (name: string, server: FastifyInstance, host: string, port: number): Promise<void> {
  const address = await server.listen({ host, port })
  console.log(`${name} listens on ${address}`)
  await new Promise<void>(resolve => {
    process.once('SIGTERM', resolve)
    process.once('SIGINT', resolve)
  })
  await server.close()
}
