/** Returns the API key of an account of the stand-in deployments. */
export function keyOf (account: string): string {
  return `key-of-${account}`
}
