/** The links of one instance to all backend servers. Cutting them leaves the links of other instances as they are. */
import { Either } from 'purify-ts'
import { Link, type LinkCut } from './link.js'

export class InstanceLinks {
  /** By the address of the server. */
  private readonly links = new Map<string, { readonly link: Link, readonly address: string }>()

  private constructor (private readonly host: string) {}

  /** @param host loopback address at which the links listen. */
  static create (host: string): InstanceLinks {
    return new InstanceLinks(host)
  }

  async add (target: string): Promise<void> {
    const link = Link.create(target)
    this.links.set(target, { link, address: await link.listen(this.host) })
  }

  /** Returns the address at which the instance reaches the server; the same address without a link. */
  addressOf (target: string): string {
    return this.links.get(target)?.address ?? target
  }

  /** Returns a server's entry with the address at which the instance reaches it; values of other writers, which need not be JSON, stay as they are. */
  rewriteAddress (value: Buffer): Buffer {
    return Either.encase(() => JSON.parse(value.toString()) as { readonly address?: unknown } | null)
      .map(entry => typeof entry?.address === 'string' && this.addressOf(entry.address) !== entry.address
        ? Buffer.from(JSON.stringify({ ...entry, address: this.addressOf(entry.address) }))
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

  close (): void {
    this.links.forEach(({ link }) => link.close())
  }

  private linksTo (targets: readonly string[] | undefined): Link[] {
    return [...this.links].flatMap(([target, { link }]) => targets?.includes(target) === false ? [] : [link])
  }
}
