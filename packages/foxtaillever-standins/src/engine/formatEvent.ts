/** One server-sent event as text; the id carries the place in the stream. */
export function formatEvent (id: number, data: string, event?: string): string {
  const name = event === undefined ? '' : `event: ${event}\n`
  return `${name}id: ${id}\ndata: ${data}\n\n`
}
