import test from 'ava'
import fc from 'fast-check'
import { array, Codec, number, string } from 'purify-ts/Codec'
import { decodeJson } from '../decodeJson.js'

const NESTED = 100_000
const MAX_REASON = 203

const entry = Codec.interface({ name: string, counts: array(number) })

function nested (open: string, inner: string, close: string): string {
  return open.repeat(NESTED) + inner + close.repeat(NESTED)
}

// Guards against an exception instead of a reason, which ends the loop or handler that decodes the text.
test('decodeJson returns a reason for nested values in any field', t => {
  const values = [nested('[', '', ']'), nested('{"a":', '1', '}'), nested('[{"a":', '1', '}]')]
  for (const value of values) {
    for (const text of [value, `{"name":${value},"counts":[]}`, `{"name":"a","counts":[1,${value}]}`, `{"other":${value}}`]) {
      t.true(decodeJson(entry, Buffer.from(text)).isLeft())
    }
  }
})

// Guards against log lines of the size of a record.
test('decodeJson shortens a reason that quotes the value', t => {
  const reason = decodeJson(entry, JSON.stringify({ name: [['x'.repeat(100_000)]] })).swap().orDefault('')
  t.regex(reason, /Expected a string/)
  t.true(reason.length <= MAX_REASON)
})

test('decodeJson ignores brackets in strings', t => {
  const name = `${'[{'.repeat(NESTED)}\\"[`
  t.deepEqual(decodeJson(entry, JSON.stringify({ name, counts: [1] })).extract(), { name, counts: [1] })
})

test('decodeJson reads what JSON.stringify writes, and throws for no bytes', t => {
  fc.assert(fc.property(fc.string(), fc.array(fc.double({ noNaN: true, noDefaultInfinity: true })), (name, counts) => {
    const value = JSON.parse(JSON.stringify({ name, counts })) as unknown
    t.deepEqual(decodeJson(entry, JSON.stringify(value)).extract(), value)
  }))
  fc.assert(fc.property(fc.uint8Array(), bytes => { decodeJson(entry, Buffer.from(bytes)) }))
  fc.assert(fc.property(fc.jsonValue(), value => { decodeJson(entry, JSON.stringify(value)) }))
  t.pass()
})
