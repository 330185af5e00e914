/**
 * The links of one instance to all backend servers. Cutting them leaves the links of
 * other instances as they are. Servers are listed under one address for all instances;
 * the instance must connect to the link's host at the same port instead.
 */
import { Either } from 'purify-ts'
import { Link, type LinkCut } from './link.js'

export class InstanceLinks {
  /** By the address of the server. */
  private readonly links = new Map<string, Link>()

  private constructor (readonly host: string) {}

  /** @param host loopback address that no other instance's links use. */
  static create (host: string): InstanceLinks {
    return new InstanceLinks(host)
  }

  async add (target: string): Promise<void> {
    const link = Link.create(target)
    await link.listen(this.host, portOf(target))
    this.links.set(target, link)
  }

  /** Returns a server's entry with the address at which the instance reaches it; values of other writers, which need not be JSON, stay as they are. */
  rewriteAddress (value: Buffer): Buffer {
    return Either.encase(() => JSON.parse(value.toString()) as { readonly address?: unknown } | null)
      .map(entry => typeof entry?.address === 'string' && this.links.has(entry.address)
        ? Buffer.from(JSON.stringify({ ...entry, address: `${this.host}:${portOf(entry.address)}` }))
        : value)
      .orDefault(value)
  }

  /** @param targets addresses of servers; all if not given. */
  cut (cut: LinkCut, targets?: readonly string[]): void {
    this.linksTo(targets).forEach(link => link.cut(cut))
  }

  /** @param targets addresses of servers; all if not given. */
  repair (targets?: readonly string[]): void {
    this.linksTo(targets).forEach(link => link.repair())
  }

  setTargetUp (target: string, isUp: boolean): void {
    this.links.get(target)?.setTargetUp(isUp)
  }

  close (): void {
    this.links.forEach(link => link.close())
  }

  private linksTo (targets: readonly string[] | undefined): Link[] {
    return [...this.links].flatMap(([target, link]) => targets?.includes(target) === false ? [] : [link])
  }
}

function portOf (address: string): number {
  return Number(address.slice(address.lastIndexOf(':') + 1))
}
