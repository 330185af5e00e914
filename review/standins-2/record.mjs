/** The record of a case: what was sent, answered and run, by seconds since its start. */
import { writeFileSync } from 'node:fs'

export class Record {
  static create () {
    return new Record()
  }

  lines = []
  startedAt = Date.now()

  note (text) {
    this.lines.push(`${((Date.now() - this.startedAt) / 1000).toFixed(3).padStart(8)} ${text}`)
  }

  write (path) {
    writeFileSync(path, `${this.lines.join('\n')}\n`)
  }
}
