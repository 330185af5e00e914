import { describe, it } from 'foxtaillever-testing'
import { exchangeAt } from '../../__fixtures__/exchanges.js'
import type { LoadWish } from '../../peers/loadQuestions.js'
import type { KnownServer } from '../../servers/knownServer.js'
import { askAround } from '../askAround.js'

const HOME = 1
const NEXT = 2
const LEVEL = { level: 7, home: HOME }

/** What is asked, and which servers the choice may then come down to. */
async function ask (given: { readonly hasHome: boolean, readonly isFirst: boolean }): Promise<{ readonly wishes: LoadWish[], readonly asked: number[] }> {
  const wishes: LoadWish[] = []
  const home = { hash: HOME } as KnownServer
  const asked = await askAround({
    choice: { homeOf: () => given.hasHome ? home : undefined, isFirst: () => given.isFirst, shortlist: () => [HOME, NEXT] },
    ask: async wish => {
      wishes.push(wish())
      return new Set(wishes.at(-1)?.servers)
    },
    levelAt: () => LEVEL
  }, exchangeAt(0), { failed: new Set(), wasMisdirected: false })
  return { wishes, asked: [...asked] }
}

describe('the question of load before a prompt is placed', () => {
  it('is asked of the home alone while that is the first choice', async t => {
    t.deepEqual(await ask({ hasHome: true, isFirst: true }), { wishes: [{ servers: [HOME], level: LEVEL }], asked: [HOME] })
  })

  // Guards against a busy home that gets the prompt because nobody else was asked for.
  it('is asked of the next best too where the home is not', async t => {
    t.deepEqual(await ask({ hasHome: true, isFirst: false }), { wishes: [{ servers: [HOME], level: LEVEL }, { servers: [NEXT] }], asked: [HOME, NEXT] })
  })

  it('is asked of the best where there is no home', async t => {
    t.deepEqual(await ask({ hasHome: false, isFirst: false }), { wishes: [{ servers: [HOME, NEXT] }], asked: [HOME, NEXT] })
  })
})
