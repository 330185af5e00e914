/**
 * Tables in Markdown, so that what is printed can stand in a page as it is.
 */
export type Row = readonly (string | number)[]

/** Numbers with three significant digits; text as it is. */
export function showValue (value: string | number): string {
  if (typeof value === 'string') {
    return value
  }
  if (Number.isInteger(value) || Math.abs(value) >= 100) {
    return Math.round(value).toString()
  }
  return value.toPrecision(3)
}

export function createTable (title: string, heads: Row, rows: readonly Row[]): string {
  const line = (row: Row): string => `| ${row.map(showValue).join(' | ')} |`
  const rule = `| ${heads.map((_, index) => index === 0 ? '---' : '---:').join(' | ')} |`
  return [`### ${title}`, '', line(heads), rule, ...rows.map(line), ''].join('\n')
}
