import { EnginePath } from 'foxtaillever-core'
import { KeyRing, Permission } from 'foxtaillever-fleet'
import { describe, it } from 'foxtaillever-testing'
import { StreamTokens, type StreamTokenPayload } from '../streamToken.js'

const payload: StreamTokenPayload = {
  account: 'cooperative',
  model: 'order-language',
  path: EnginePath.Completions,
  position: { server: 'a', incarnation: 'a-1', weightsVersion: 'v1', streamId: 's', requestId: 'r', after: 0 }
}

function tokensOf (...ids: string[]): StreamTokens {
  return StreamTokens.create(KeyRing.create(ids.map(id => ({ id, secret: `secret of the key ${id}`, permissions: [Permission.Join] }))))
}

describe('a stream token', () => {
  it('is read by another instance, also after the keys were rotated', t => {
    const token = tokensOf('old').issue(payload)
    t.deepEqual(tokensOf('new', 'old').read(token).extract(), payload)
  })

  it('is refused when its key is no longer in force', t => {
    t.true(tokensOf('new').read(tokensOf('old').issue(payload)).isNothing())
  })

  it('is refused when its account was changed', t => {
    // A caller changes its own token to read the stream of another account.
    const [body = '', ...signature] = tokensOf('key').issue(payload).split('.')
    const forged = JSON.parse(Buffer.from(body, 'base64url').toString()) as StreamTokenPayload
    const token = [Buffer.from(JSON.stringify({ ...forged, account: 'granja' })).toString('base64url'), ...signature].join('.')
    t.true(tokensOf('key').read(token).isNothing())
  })

  it('is refused when it is malformed', t => {
    t.deepEqual(['', '.', 'a.b.c', 'x'.repeat(5000)].map(token => tokensOf('key').read(token).isNothing()), [true, true, true, true])
  })
})
