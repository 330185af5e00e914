/** Formats one server-sent event; the id is its position in the stream. */
export function formatEvent (id: number, data: string, event?: string): string {
  const name = event === undefined ? '' : `event: ${event}\n`
  return `${name}id: ${id}\ndata: ${data}\n\n`
}
