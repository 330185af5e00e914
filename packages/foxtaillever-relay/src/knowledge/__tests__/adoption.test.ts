/**
 * A configuration, a key that was taken away or a server's leaving reaches an
 * instance from the store, whole or record by record, and from other instances,
 * whose words come late and in any order, while the store forgets its history.
 * Were one of them lost or undone, the instance would serve by an old belief and
 * nobody would notice, since it says that it knows everything.
 */
import fc from 'fast-check'
import { describe, it } from 'foxtaillever-testing'
import type { KeyedRecord } from '../keyedLog.js'
import { RecordTable, type ToldSince } from '../recordTable.js'

const INSTANCES = 3
const KEYS = ['a', 'b', 'c']
const SEED = 4711
const RUNS = 400

enum Step {
  /** A record with new contents. */
  Write = 'write',
  /** A record with the same contents, as a heartbeat. */
  Repeat = 'repeat',
  Remove = 'remove',
  /** An instance reads what was appended since it last did. */
  Read = 'read',
  /** An instance reads the newest record of each key, since the history is gone. */
  ReadWhole = 'read-whole',
  /** An instance asks another; the answer is on its way. */
  Ask = 'ask',
  /** One of the answers on their way arrives. */
  Arrive = 'arrive'
}

interface Answer {
  readonly to: number
  readonly told: ToldSince
}

class World {
  readonly log: KeyedRecord[] = []
  readonly beliefs = Array.from({ length: INSTANCES }, () => new Map<string, string | undefined>())
  readonly tables = this.beliefs.map(beliefs => RecordTable.create(({ key, value }) => {
    const text = value?.toString()
    const isNews = !beliefs.has(key) || beliefs.get(key) !== text
    if (text !== undefined && Number(text) < (this.highest.get(beliefs)?.get(key) ?? 0)) {
      this.wentBack = `${key}: ${text}`
    }
    if (text !== undefined) {
      this.highest.set(beliefs, (this.highest.get(beliefs) ?? new Map()).set(key, Number(text)))
    }
    beliefs.set(key, text)
    return isNews
  }))

  wentBack = ''
  private readonly highest = new Map<object, Map<string, number>>()
  private readonly onTheWay: Answer[] = []
  private contents = 0

  readonly steps: Record<Step, (instance: number, choice: number) => void> = {
    [Step.Write]: (_, choice) => this.append(choice, String(++this.contents)),
    [Step.Repeat]: (_, choice) => this.append(choice, this.newest(this.keyOf(choice))?.value?.toString()),
    [Step.Remove]: (_, choice) => this.append(choice, undefined),
    [Step.Read]: instance => this.read(instance),
    [Step.ReadWhole]: instance => this.readWhole(instance),
    [Step.Ask]: (instance, choice) => this.ask(instance, (instance + 1 + choice % (INSTANCES - 1)) % INSTANCES),
    [Step.Arrive]: (_, choice) => this.arrive(choice)
  }

  /** What an instance says that it knows and does not; undefined when all is well. */
  lacking (): string | undefined {
    for (const [instance, table] of this.tables.entries()) {
      for (const key of KEYS) {
        const before = this.log.filter(record => record.key === key && record.offset < table.position).at(-1)
        const possible = this.log.filter(record => record.key === key && record.offset >= (before?.offset ?? Infinity)).map(({ value }) => value?.toString())
        if (before && !possible.includes(this.beliefs[instance]?.get(key))) {
          return `instance ${instance}, key ${key}: ${String(this.beliefs[instance]?.get(key))} at ${table.position}`
        }
      }
    }
    return undefined
  }

  private keyOf (choice: number): string {
    return KEYS[choice % KEYS.length] as string
  }

  private newest (key: string): KeyedRecord | undefined {
    return this.log.filter(record => record.key === key).at(-1)
  }

  private append (choice: number, text: string | undefined): void {
    this.log.push({ key: this.keyOf(choice), offset: this.log.length, value: text === undefined ? undefined : Buffer.from(text) })
  }

  private read (instance: number): void {
    const table = this.tables[instance] as RecordTable
    this.log.slice(table.position).forEach(record => table.take(record))
    table.reach(this.log.length)
  }

  private readWhole (instance: number): void {
    const table = this.tables[instance] as RecordTable
    const newest = KEYS.flatMap(key => this.newest(key) ?? []).filter(({ value }) => value !== undefined)
    newest.forEach(record => table.take(record))
    table.retain(new Set(newest.map(({ key }) => key)), this.log.length)
  }

  private ask (asking: number, asked: number): void {
    const from = (this.tables[asking] as RecordTable).position
    this.onTheWay.push({ to: asking, told: (this.tables[asked] as RecordTable).tellSince(from) })
  }

  private arrive (choice: number): void {
    const [answer] = this.onTheWay.splice(choice % Math.max(1, this.onTheWay.length), 1)
    if (answer) {
      this.tables[answer.to]?.takeTold(answer.told)
    }
  }
}

const step = fc.record({
  kind: fc.constantFrom(...Object.values(Step)),
  instance: fc.nat({ max: INSTANCES - 1 }),
  choice: fc.nat({ max: 11 })
})

describe('what instances know of a topic', () => {
  // A server leaves while one instance cannot read the store. Another restarts, reads what is there, and never hears
  // of that server. Asked by the first, it has no removal to tell, and the first sends on to a server that is gone.
  it('includes removals from before the start of the one that tells', t => {
    const world = new World()
    world.steps[Step.Write](0, 2)
    world.steps[Step.ReadWhole](1, 0)
    world.steps[Step.Remove](0, 2)
    world.steps[Step.ReadWhole](0, 0)
    world.steps[Step.Ask](1, 1)
    world.steps[Step.Arrive](0, 0)
    t.is(world.tables[1]?.position, 2)
    t.is(world.beliefs[1]?.get('c'), undefined)
  })

  it('never lacks what they say that they know, and never goes back', t => {
    fc.assert(fc.property(fc.array(step, { minLength: 20, maxLength: 80 }), steps => {
      const world = new World()
      for (const { kind, instance, choice } of steps) {
        world.steps[kind](instance, choice)
        const lacking = world.lacking()
        if (lacking !== undefined || world.wentBack !== '') {
          throw new Error(lacking ?? `went back to ${world.wentBack}`)
        }
      }
    }), { seed: SEED, numRuns: RUNS })
    t.pass()
  })
})
