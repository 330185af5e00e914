/**
 * Hashes short texts to 32-bit numbers, for rendezvous scores and for names in
 * datagrams. MurmurHash3 in plain JavaScript: a WebAssembly hash must be
 * instantiated before the first module that uses it, which delays every start of
 * an instance.
 */
import MurmurHash3 from 'imurmurhash'

export function hashNumber (text: string, seed = 0): number {
  return MurmurHash3(text, seed).result()
}
