import test from 'ava'
import { SeededRandom } from '../random.js'

// Instances have consecutive seeds. If their first draws were alike, all of them would select the same
// backend server for their first requests, and callers would queue there.
test('random › consecutive seeds draw different numbers from the start', t => {
  const tenths = Array.from({ length: 200 }, (_, seed) => Math.floor(SeededRandom.create(seed).next() * 10))
  const counts = Array.from({ length: 10 }, (_, tenth) => tenths.filter(drawn => drawn === tenth).length)
  t.true(counts.every(count => count > 5 && count < 50), counts.join(' '))
})
