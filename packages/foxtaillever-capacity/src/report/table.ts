/** Formats tables in Markdown, so that they can be copied into a page unchanged. */
export type Row = readonly (string | number)[]

/** Formats integers and numbers from 100 as integers, other numbers with three significant digits; text stays as it is. */
export function formatValue (value: string | number): string {
  if (typeof value === 'string') {
    return value
  }
  if (Number.isInteger(value) || Math.abs(value) >= 100) {
    return Math.round(value).toString()
  }
  return value.toPrecision(3)
}

export function createTable (title: string, headers: Row, rows: readonly Row[]): string {
  const line = (row: Row): string => `| ${row.map(formatValue).join(' | ')} |`
  const delimiter = `| ${headers.map((_, index) => index === 0 ? '---' : '---:').join(' | ')} |`
  return [`### ${title}`, '', line(headers), delimiter, ...rows.map(line), ''].join('\n')
}
