/**
 * Collects bytes that arrive in pieces of any size. A piece of one byte takes a hundred in
 * a list of buffers, so that the pieces are copied into one buffer that doubles when it is full.
 */
export class ByteCollector {
  private buffer: Buffer = Buffer.alloc(0)
  length = 0

  private constructor (private readonly expectedLength: number) {}

  /** @param expectedLength of all bytes if it is known: so much is allocated with the first piece. */
  static create (expectedLength = 0): ByteCollector {
    return new ByteCollector(expectedLength)
  }

  /** Bytes of memory, at least the length. */
  get capacity (): number {
    return this.buffer.length
  }

  /** Valid until more bytes are added or the collector is cleared. */
  get bytes (): Buffer {
    return this.buffer.subarray(0, this.length)
  }

  add (bytes: Buffer): void {
    const length = this.length + bytes.length
    if (length > this.buffer.length) {
      const larger = Buffer.allocUnsafe(Math.max(length, 2 * this.buffer.length, this.expectedLength))
      this.bytes.copy(larger)
      this.buffer = larger
    }
    bytes.copy(this.buffer, this.length)
    this.length = length
  }

  /** Forgets the bytes; buffers that were returned before keep theirs. */
  clear (): void {
    this.buffer = Buffer.alloc(0)
    this.length = 0
  }
}
