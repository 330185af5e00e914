/** Encodes and decodes records: each follows its length, and a page of records follows the offsets of its partition. */

const LENGTH_BYTES = 4
const OFFSET_BYTES = 8

export function splitRecords (bytes: Buffer): Buffer[] {
  const contents: Buffer[] = []
  for (let from = 0; from + LENGTH_BYTES <= bytes.length;) {
    const end = from + LENGTH_BYTES + bytes.readUInt32BE(from)
    contents.push(bytes.subarray(from + LENGTH_BYTES, end))
    from = end
  }
  return contents
}

export function frameRecords (end: number, first: number, contents: readonly Buffer[]): Buffer {
  const offsets = Buffer.alloc(2 * OFFSET_BYTES)
  offsets.writeBigUInt64BE(BigInt(end))
  offsets.writeBigUInt64BE(BigInt(first), OFFSET_BYTES)
  return Buffer.concat([offsets, ...contents.flatMap(content => {
    const length = Buffer.alloc(LENGTH_BYTES)
    length.writeUInt32BE(content.length)
    return [length, content]
  })])
}
