import test from 'ava'
import { createChatPrompt, createTextPrompt } from '../hashPrompt.js'

const catalogue = { role: 'system', content: 'catalogue '.repeat(40) }

test('prompts › two questions after the same catalogue share only the first level', t => {
  const first = createChatPrompt([catalogue, { role: 'user', content: 'How much feed for ten sows in their last week?' }])
  const second = createChatPrompt([catalogue, { role: 'user', content: 'Which mix for piglets after the weaning?' }])
  t.is(first.levels[0]?.hash, second.levels[0]?.hash)
  t.not(first.levels.at(-1)?.hash, second.levels.at(-1)?.hash)
})

test('prompts › the hash of a level covers the whole prefix, so the same text after another catalogue has another hash', t => {
  const text = 'x'.repeat(400)
  t.not(createTextPrompt(`a${text}`, [200]).levels[1]?.hash, createTextPrompt(`b${text}`, [200]).levels[1]?.hash)
})
