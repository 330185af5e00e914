/** Renders one self-contained HTML file: headings, tables, plots side by side. */
import { escapeText } from './svgPlot.js'

const STYLE = `body{font:15px/1.5 system-ui,sans-serif;max-width:1360px;margin:2em auto;padding:0 1em;color:#222}
table{border-collapse:collapse;margin:1em 0}td,th{border:1px solid #ccc;padding:.25em .7em;text-align:left}th{background:#f3f3f3}
.plots{display:grid;grid-template-columns:repeat(auto-fit,minmax(480px,1fr));gap:1em}svg{width:100%;font:11px system-ui,sans-serif}
.bad{color:#b00020;font-weight:bold}`

export type Row = readonly string[]

export function drawTable (head: Row, rows: readonly Row[]): string {
  const cells = (row: Row, tag: string): string => `<tr>${row.map(cell => `<${tag}>${escapeText(cell)}</${tag}>`).join('')}</tr>`
  return `<table>${cells(head, 'th')}${rows.map(row => cells(row, 'td')).join('')}</table>`
}

/** Plots next to each other where the window is wide enough. */
export function drawPlots (plots: readonly string[]): string {
  return `<div class="plots">${plots.join('')}</div>`
}

/** @param parts HTML, already escaped. */
export function drawPage (title: string, parts: readonly string[]): string {
  return `<!doctype html><html lang="en"><meta charset="utf-8"><title>${escapeText(title)}</title><style>${STYLE}</style><h1>${escapeText(title)}</h1>${parts.join('\n')}</html>\n`
}
