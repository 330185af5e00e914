/**
 * Preloaded by an instance under test: connects to the instance's own links instead of
 * the servers. Servers have one address for all instances, because instances pass their
 * entries on to each other, and each instance has links that can be cut on their own.
 */
import { Agent, type AgentOptions } from 'node:http'
import type { Socket } from 'node:net'
import { LINKS_HOST, SERVERS_HOST } from './linkHosts.js'

type CreateConnection = (options: AgentOptions & { readonly host?: string }, ...rest: readonly unknown[]) => Socket

const { [SERVERS_HOST]: serversHost, [LINKS_HOST]: linksHost } = process.env
const prototype = Agent.prototype as unknown as { createConnection: CreateConnection }
const { createConnection } = prototype

prototype.createConnection = function (options, ...rest) {
  return createConnection.call(this, options.host === serversHost ? { ...options, host: linksHost as string } : options, ...rest)
}
