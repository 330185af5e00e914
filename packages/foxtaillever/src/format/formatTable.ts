/**
 * Formats tables without frames, each column as wide as its widest cell, so that
 * `cut` and `grep` work on them.
 */
export type Row = readonly string[]

const GAP = '  '

export function formatTable (headers: Row, rows: readonly Row[]): string {
  const all = [headers, ...rows]
  const widths = headers.map((_, column) => Math.max(...all.map(row => (row[column] ?? '').length)))
  return all.map(row => formatRow(row, widths)).join('')
}

function formatRow (row: Row, widths: readonly number[]): string {
  const cells = row.map((cell, column) => cell.padEnd(widths[column] ?? 0))
  return `${cells.join(GAP).trimEnd()}\n`
}
