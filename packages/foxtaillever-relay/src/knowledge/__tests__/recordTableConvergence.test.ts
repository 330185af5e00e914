/**
 * A configuration, a revoked API key or a server's leaving reaches an instance from
 * the store, in a complete read or record by record, and from other instances, whose
 * updates arrive late and in any order, while the store deletes its history. If a
 * change were lost or undone, the instance would serve by stale data without any
 * sign of it, since its position claims that it knows everything.
 */
import fc from 'fast-check'
import { describe, it } from 'foxtaillever-testing'
import type { KeyedRecord } from '../keyedLog.js'
import { RecordTable, type RecordUpdate } from '../recordTable.js'

const INSTANCES = 3
const KEYS = ['a', 'b', 'c']
const SEED = 4711
const RUNS = 400

enum Step {
  /** A record with new contents. */
  Write = 'write',
  /** A record with the same contents, like a heartbeat. */
  Repeat = 'repeat',
  Remove = 'remove',
  /** An instance reads what was appended since its last read. */
  Read = 'read',
  /** An instance reads the newest record of each key, as if the history was deleted. */
  ReadAll = 'read-all',
  /** An instance queries another; the answer is in transit. */
  Query = 'query',
  /** One of the answers in transit arrives. */
  Arrive = 'arrive'
}

interface Answer {
  readonly to: number
  readonly update: RecordUpdate
}

class World {
  readonly log: KeyedRecord[] = []
  readonly values = Array.from({ length: INSTANCES }, () => new Map<string, string | undefined>())
  readonly tables = this.values.map(values => RecordTable.create(({ key, value }) => {
    const text = value?.toString()
    const hasChanged = !values.has(key) || values.get(key) !== text
    if (text !== undefined && Number(text) < (this.highest.get(values)?.get(key) ?? 0)) {
      this.regression = `${key}: ${text}`
    }
    if (text !== undefined) {
      this.highest.set(values, (this.highest.get(values) ?? new Map()).set(key, Number(text)))
    }
    values.set(key, text)
    return hasChanged
  }))

  regression = ''
  private readonly highest = new Map<object, Map<string, number>>()
  private readonly inTransit: Answer[] = []
  private contents = 0

  readonly steps: Record<Step, (instance: number, choice: number) => void> = {
    [Step.Write]: (_, choice) => this.append(choice, String(++this.contents)),
    [Step.Repeat]: (_, choice) => this.append(choice, this.newest(this.keyOf(choice))?.value?.toString()),
    [Step.Remove]: (_, choice) => this.append(choice, undefined),
    [Step.Read]: instance => this.read(instance),
    [Step.ReadAll]: instance => this.readAll(instance),
    [Step.Query]: (instance, choice) => this.query(instance, (instance + 1 + choice % (INSTANCES - 1)) % INSTANCES),
    [Step.Arrive]: (_, choice) => this.arrive(choice)
  }

  /** Finds a value that is older than its table's position claims; undefined if there is none. */
  findStaleValue (): string | undefined {
    for (const [instance, table] of this.tables.entries()) {
      for (const key of KEYS) {
        const before = this.log.filter(record => record.key === key && record.offset < table.position).at(-1)
        const possible = this.log.filter(record => record.key === key && record.offset >= (before?.offset ?? Infinity)).map(({ value }) => value?.toString())
        if (before && !possible.includes(this.values[instance]?.get(key))) {
          return `instance ${instance}, key ${key}: ${String(this.values[instance]?.get(key))} at ${table.position}`
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
    this.log.slice(table.position).forEach(record => table.applyRecord(record))
    table.advanceTo(this.log.length)
  }

  private readAll (instance: number): void {
    const table = this.tables[instance] as RecordTable
    const newest = KEYS.flatMap(key => this.newest(key) ?? []).filter(({ value }) => value !== undefined)
    newest.forEach(record => table.applyRecord(record))
    table.retain(new Set(newest.map(({ key }) => key)), this.log.length)
  }

  private query (querying: number, queried: number): void {
    const from = (this.tables[querying] as RecordTable).position
    this.inTransit.push({ to: querying, update: (this.tables[queried] as RecordTable).createUpdateSince(from) })
  }

  private arrive (choice: number): void {
    const [answer] = this.inTransit.splice(choice % Math.max(1, this.inTransit.length), 1)
    if (answer) {
      this.tables[answer.to]?.applyUpdate(answer.update)
    }
  }
}

const step = fc.record({
  kind: fc.constantFrom(...Object.values(Step)),
  instance: fc.nat({ max: INSTANCES - 1 }),
  choice: fc.nat({ max: 11 })
})

describe('record tables of several instances', () => {
  // A server leaves while one instance cannot read the store. Another instance restarts, reads the existing entries, and
  // never learns of that server. Its update to the first has no removal, so the first would keep a server that has left.
  it('apply removals from before the start of the instance that sends the update', t => {
    const world = new World()
    world.steps[Step.Write](0, 2)
    world.steps[Step.ReadAll](1, 0)
    world.steps[Step.Remove](0, 2)
    world.steps[Step.ReadAll](0, 0)
    world.steps[Step.Query](1, 1)
    world.steps[Step.Arrive](0, 0)
    t.is(world.tables[1]?.position, 2)
    t.is(world.values[1]?.get('c'), undefined)
  })

  it('never lack records before their position, and never return to older values', t => {
    fc.assert(fc.property(fc.array(step, { minLength: 20, maxLength: 80 }), steps => {
      const world = new World()
      for (const { kind, instance, choice } of steps) {
        world.steps[kind](instance, choice)
        const findStaleValue = world.findStaleValue()
        if (findStaleValue !== undefined || world.regression !== '') {
          throw new Error(findStaleValue ?? `returned to ${world.regression}`)
        }
      }
    }), { seed: SEED, numRuns: RUNS })
    t.pass()
  })
})
