/**
 * Tables for people: columns as wide as their widest cell, no frames, so that
 * they can be read, cut and searched.
 */
export type Row = readonly string[]

const GAP = '  '

export function formatTable (heads: Row, rows: readonly Row[]): string {
  const all = [heads, ...rows]
  const widths = heads.map((_, column) => Math.max(...all.map(row => (row[column] ?? '').length)))
  return all.map(row => formatRow(row, widths)).join('')
}

function formatRow (row: Row, widths: readonly number[]): string {
  const cells = row.map((cell, column) => cell.padEnd(widths[column] ?? 0))
  return `${cells.join(GAP).trimEnd()}\n`
}
