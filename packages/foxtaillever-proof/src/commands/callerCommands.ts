/** Commands of callers: send, repeat an order through another instance, disconnect, reconnect. */
import fc from 'fast-check'
import type { CallerRequest } from '../world/callerRequest.js'
import { RETENTION_MS } from '../world/world.js'
import { createCommand, type WorldCommand } from './command.js'

const ACCOUNTS = ['cooperative', 'granja']
const KEYS = 4

/** Number of requests sent while a backend server begins to leave. */
const REQUESTS_WHILE_LEAVING = 4

interface RequestDraw {
  readonly entry: number
  readonly account: string
  readonly prompt: number
  readonly tokens: number
  readonly timeoutMs: number
  readonly key: number
  readonly isSlowReader: boolean
  readonly gapMs: number
}

function drawRequests (entries: number): fc.Arbitrary<RequestDraw> {
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

/** Includes the start time of the world, so that a key stays the same for all attempts of one order. */
function idempotencyKeyOf (start: number, key: number): string {
  return `${start}-order-${key}`
}

const isUp = (entry: number) => (situation: Readonly<{ entries: ReadonlyArray<{ isUp: boolean }> }>): boolean =>
  situation.entries[entry]?.isUp === true

export function createCallerCommands (entries: number, engines: number): Array<fc.Arbitrary<WorldCommand>> {
  const send = drawRequests(entries).map(draw => createCommand(`send(${JSON.stringify(draw)})`, async world => {
    const callerRequest: CallerRequest = { ...draw, idempotencyKey: undefined }
    world.send(callerRequest)
    await world.advanceBy(draw.gapMs)
  }, situation => { situation.sentRequests += 1 }, isUp(draw.entry)))

  const order = drawRequests(entries).map(draw => createCommand(`order(${JSON.stringify(draw)})`, async world => {
    // A key normally always comes with the same body, but some callers reuse it for another one.
    const prompt = draw.prompt === 0 ? 1 : 10 + draw.key
    world.send({ ...draw, prompt, tokens: 3, idempotencyKey: idempotencyKeyOf(world.startedAt, draw.key) })
    await world.advanceBy(draw.gapMs)
  }, situation => { situation.sentRequests += 1 }, isUp(draw.entry)))

  const burst = fc.tuple(drawRequests(entries), fc.integer({ min: 2, max: 6 })).map(([draw, count]) => createCommand(`burst(${count}, ${JSON.stringify(draw)})`, async world => {
    for (let index = 0; index < count; index++) {
      world.send({ ...draw, idempotencyKey: undefined })
      await world.advanceBy(draw.gapMs)
    }
  }, situation => { situation.sentRequests += count }, isUp(draw.entry)))

  const leaveUnderLoad = fc.tuple(drawRequests(entries), fc.nat(engines - 1)).map(([draw, engine]) => createCommand(`leaveUnderLoad(${engine}, ${JSON.stringify(draw)})`, async world => {
    world.leaveEngine(engine)
    for (let index = 0; index < REQUESTS_WHILE_LEAVING; index++) {
      world.send({ ...draw, idempotencyKey: undefined })
      await world.advanceBy(draw.gapMs)
    }
  }, situation => { situation.sentRequests += REQUESTS_WHILE_LEAVING }, isUp(draw.entry)))

  const abandon = fc.nat(20).map(index => createCommand(`abandon(${index})`, world => world.abandon(index)))

  const reconnect = fc.record({ index: fc.nat(10), entry: fc.nat(entries - 1) }).map(({ index, entry }) =>
    createCommand(`reconnect(${index}, ${entry})`, async world => {
      world.reconnect(index, entry)
      await world.advanceBy(20)
    }))

  return [send, burst, leaveUnderLoad, order, order, order, abandon, reconnect]
}

export function createTimeCommands (): Array<fc.Arbitrary<WorldCommand>> {
  const pass = fc.integer({ min: 1, max: 2500 }).map(ms => createCommand(`pass(${ms})`, world => world.advanceBy(ms)))
  return [pass, pass]
}

/** Lets everything in the log expire; drawn rarely, since it takes long. */
export function createOutliveLog (): fc.Arbitrary<WorldCommand> {
  return fc.constant(createCommand('outliveLog()', world => world.advanceBy(RETENTION_MS + 5000)))
}
