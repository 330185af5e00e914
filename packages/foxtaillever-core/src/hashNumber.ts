/**
 * Short texts as 32-bit numbers, for rendezvous scores and for names in datagrams.
 * By MurmurHash3 in plain code: a hash by WebAssembly must be instantiated before
 * the first module that uses it, which every start of an instance waits for.
 */
import MurmurHash3 from 'imurmurhash'

export function hashNumber (text: string, seed = 0): number {
  return MurmurHash3(text, seed).result()
}
