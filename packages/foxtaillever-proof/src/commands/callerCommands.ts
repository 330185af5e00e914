/** What callers do: send, send again through another instance, leave, come back. */
import fc from 'fast-check'
import type { Wish } from '../world/wish.js'
import { RETENTION_MS } from '../world/world.js'
import { createCommand, type WorldCommand } from './command.js'

const ACCOUNTS = ['cooperative', 'granja']
const KEYS = 4

/** Requests that come while a backend server begins to leave. */
const LOAD = 4

interface Draw {
  readonly entry: number
  readonly account: string
  readonly prompt: number
  readonly tokens: number
  readonly timeoutMs: number
  readonly key: number
  readonly isSlowReader: boolean
  readonly gapMs: number
}

function draws (entries: number): fc.Arbitrary<Draw> {
  return fc.record({
    entry: fc.nat(entries - 1),
    account: fc.constantFrom(...ACCOUNTS),
    prompt: fc.nat(5),
    tokens: fc.integer({ min: 1, max: 8 }),
    timeoutMs: fc.integer({ min: 200, max: 6000 }),
    key: fc.nat(KEYS - 1),
    isSlowReader: fc.boolean(),
    gapMs: fc.nat(120)
  })
}

/** The same key always bears the same time, as a caller's stored order does. */
function keyOf (start: number, key: number): string {
  return `${start}-order-${key}`
}

const isUp = (entry: number) => (situation: Readonly<{ entries: ReadonlyArray<{ isUp: boolean }> }>): boolean =>
  situation.entries[entry]?.isUp === true

export function createCallerCommands (entries: number, engines: number): Array<fc.Arbitrary<WorldCommand>> {
  const send = draws(entries).map(draw => createCommand(`send(${JSON.stringify(draw)})`, async world => {
    const wish: Wish = { ...draw, idempotencyKey: undefined }
    world.send(wish)
    await world.pass(draw.gapMs)
  }, situation => { situation.sendings += 1 }, isUp(draw.entry)))

  const order = draws(entries).map(draw => createCommand(`order(${JSON.stringify(draw)})`, async world => {
    // Body and key belong together, but now and then a caller mixes them up.
    const prompt = draw.prompt === 0 ? 1 : 10 + draw.key
    world.send({ ...draw, prompt, tokens: 3, idempotencyKey: keyOf(world.startedAt, draw.key) })
    await world.pass(draw.gapMs)
  }, situation => { situation.sendings += 1 }, isUp(draw.entry)))

  const burst = fc.tuple(draws(entries), fc.integer({ min: 2, max: 6 })).map(([draw, count]) => createCommand(`burst(${count}, ${JSON.stringify(draw)})`, async world => {
    for (let index = 0; index < count; index++) {
      world.send({ ...draw, idempotencyKey: undefined })
      await world.pass(draw.gapMs)
    }
  }, situation => { situation.sendings += count }, isUp(draw.entry)))

  const leaveUnderLoad = fc.tuple(draws(entries), fc.nat(engines - 1)).map(([draw, engine]) => createCommand(`leaveUnderLoad(${engine}, ${JSON.stringify(draw)})`, async world => {
    world.leaveEngine(engine)
    for (let index = 0; index < LOAD; index++) {
      world.send({ ...draw, idempotencyKey: undefined })
      await world.pass(draw.gapMs)
    }
  }, situation => { situation.sendings += LOAD }, isUp(draw.entry)))

  const abandon = fc.nat(20).map(index => createCommand(`abandon(${index})`, world => world.abandon(index)))

  const reconnect = fc.record({ index: fc.nat(10), entry: fc.nat(entries - 1) }).map(({ index, entry }) =>
    createCommand(`reconnect(${index}, ${entry})`, async world => {
      world.reconnect(index, entry)
      await world.pass(20)
    }))

  return [send, burst, leaveUnderLoad, order, order, order, abandon, reconnect]
}

export function createTimeCommands (): Array<fc.Arbitrary<WorldCommand>> {
  const pass = fc.integer({ min: 1, max: 2500 }).map(ms => createCommand(`pass(${ms})`, world => world.pass(ms)))
  return [pass, pass]
}

/** Rare, since it takes long: everything in the log expires. */
export function createOutliveLog (): fc.Arbitrary<WorldCommand> {
  return fc.constant(createCommand('outliveLog()', world => world.pass(RETENTION_MS + 5000)))
}
