import { describe, it } from 'foxtaillever-testing'
import { LearnedSlots } from '../learnedSlots.js'

describe('LearnedSlots', () => {
  // Guards against a server that keeps rejecting because as much is sent to it as its entry says.
  it('lowers what a server gets at a time with its rejections, and raises it by steps', t => {
    const learned = LearnedSlots.create()
    t.is(learned.slotsOf(1, 48, 0), 48)
    learned.recordRejection(1, 20, 0)
    t.is(learned.slotsOf(1, 48, 0), 14)
    learned.recordRejection(1, 20, 200)
    t.is(learned.slotsOf(1, 48, 200), 9)
    t.is(learned.slotsOf(1, 48, 1200), 13)
    t.is(learned.slotsOf(1, 48, 60_000), 48)
    t.is(learned.slotsOf(2, 48, 200), 48)
  })

  it('counts rejections of requests that were on their way together once, and leaves at least one slot', t => {
    const learned = LearnedSlots.create()
    for (let index = 0; index < 5; index += 1) {
      learned.recordRejection(1, 10, index)
    }
    t.is(learned.slotsOf(1, 48, 5), 7)
    learned.recordRejection(2, 1, 0)
    t.is(learned.slotsOf(2, 48, 0), 1)
  })
})
