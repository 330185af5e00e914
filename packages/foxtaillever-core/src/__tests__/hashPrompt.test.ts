import test from 'ava'
import { createChatPrompt, createTextPrompt } from '../hashPrompt.js'

const catalogue = { role: 'system', content: 'catalogue '.repeat(40) }

test('prompts › two questions below one catalogue share the first level only', t => {
  const one = createChatPrompt([catalogue, { role: 'user', content: 'How much feed for ten sows in their last week?' }])
  const other = createChatPrompt([catalogue, { role: 'user', content: 'Which mix for piglets after the weaning?' }])
  t.is(one.levels[0]?.hash, other.levels[0]?.hash)
  t.not(one.levels.at(-1)?.hash, other.levels.at(-1)?.hash)
})

test('prompts › a level names the whole prefix, so the same text below another catalogue differs', t => {
  const text = 'x'.repeat(400)
  t.not(createTextPrompt(`a${text}`, [200]).levels[1]?.hash, createTextPrompt(`b${text}`, [200]).levels[1]?.hash)
})
