/**
 * Shares the time of the event loop between bodies that come in chunks. A chunk of one byte
 * costs as much as one of thousands, so that a few clients could keep the process busy. Their
 * bytes are parsed up to a bound in each turn of the event loop; the rest waits.
 */

/** Bytes that are parsed in one turn of the event loop, of all bodies in chunks together: about ten milliseconds if each chunk has one byte. */
const MAX_BYTES_PER_TURN = 16 * 1024

/** A connection with bytes of a body in chunks that wait to be parsed. */
export interface ChunkReader {
  readonly hasChunks: boolean
  /** Parses a piece; returns its bytes. */
  readonly parseChunks: () => number
}

export class ChunkWork {
  /** Bytes that were parsed in this turn. */
  private parsed = 0
  private isScheduled = false
  /** In the order of their turns. */
  private readonly waiting = new Set<ChunkReader>()

  private constructor () {}

  static create (): ChunkWork {
    return new ChunkWork()
  }

  /** Returns whether a connection may parse so many bytes at once: none waits, and this turn has room. */
  takePiece (bytes: number): boolean {
    if (this.waiting.size > 0 || this.parsed >= MAX_BYTES_PER_TURN) {
      return false
    }
    this.parsed += bytes
    this.schedule()
    return true
  }

  /** The connection has bytes that wait. */
  add (reader: ChunkReader): void {
    this.waiting.add(reader)
    this.schedule()
  }

  private schedule (): void {
    if (!this.isScheduled) {
      this.isScheduled = true
      setImmediate(() => this.runTurn())
    }
  }

  /** Connections take turns, so that one with much does not delay the others. */
  private runTurn (): void {
    this.isScheduled = false
    this.parsed = 0
    for (const reader of this.waiting) {
      this.waiting.delete(reader)
      this.parsed += reader.hasChunks ? reader.parseChunks() : 0
      if (reader.hasChunks) {
        this.waiting.add(reader)
      }
      if (this.parsed >= MAX_BYTES_PER_TURN) {
        break
      }
    }
    if (this.waiting.size > 0) {
      this.schedule()
    }
  }
}
