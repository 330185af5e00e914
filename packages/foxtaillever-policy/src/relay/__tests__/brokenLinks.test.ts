import { describe, it } from 'foxtaillever-testing'
import { BrokenLinks, LinkState } from '../brokenLinks.js'

const serverAt = (hash: number, failureDomain: string): { readonly hash: number, readonly failureDomain: string } => ({ hash, failureDomain })

describe('BrokenLinks', () => {
  // Guards against requests that wait for a timeout at each server of a domain that is out of reach.
  it('takes two servers of a failure domain for all of it, and leaves the others', t => {
    const links = BrokenLinks.create()
    links.recordBroken(serverAt(1, 'a'), 10)
    t.false(links.isBroken(serverAt(2, 'a')))
    links.recordBroken(serverAt(2, 'a'), 20)
    t.true(links.isBroken(serverAt(3, 'a')))
    t.false(links.isBroken(serverAt(4, 'b')))
    t.is(links.state, LinkState.Partial)
    t.is(links.brokenSince(serverAt(3, 'a')), 10)
  })

  // Guards against requests that wait for a timeout at each server while all are out of reach.
  it('takes servers of two failure domains for all servers', t => {
    const links = BrokenLinks.create()
    links.recordBroken(serverAt(1, 'a'), 10)
    links.recordBroken(serverAt(4, 'b'), 20)
    t.is(links.state, LinkState.Cut)
    t.true(links.isBroken(serverAt(7, 'c')))
  })

  // Guards against links that count as broken after they have returned.
  it('forgets a failure domain as soon as one of its servers is reached', t => {
    const links = BrokenLinks.create()
    links.recordBroken(serverAt(1, 'a'), 10)
    links.recordBroken(serverAt(4, 'b'), 20)
    links.recordSound('a')
    t.is(links.state, LinkState.Partial)
    t.false(links.isBroken(serverAt(1, 'a')))
    t.true(links.isBroken(serverAt(4, 'b')))
    links.recordSound('b')
    t.is(links.state, LinkState.Sound)
    t.false(links.isBroken(serverAt(4, 'b')))
  })
})
