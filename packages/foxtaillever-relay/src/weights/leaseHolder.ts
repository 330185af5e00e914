/**
 * Identifies a machine as holder of the lease on orders. A replacement may bear the name of the
 * machine that it replaces, whose orders may still be on their way; it is at another address. A
 * restart of the same machine is the same holder.
 * @param address IP address and port; the port is the same for all instances.
 */
export function leaseHolderOf ({ name, address }: { readonly name: string, readonly address: string }): string {
  return `${name}@${address.slice(0, address.lastIndexOf(':'))}`
}
