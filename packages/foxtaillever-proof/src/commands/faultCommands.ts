/** Faults of instances, engines, connections and the log, and races between operators. */
import fc from 'fast-check'
import { LEASE_TERM_MS } from 'foxtaillever-fleet'
import { presetNames } from '../world/world.js'
import { createCommand, type WorldCommand } from './command.js'

const OUTAGE_MS = 4000

export function createEntryFaults (entries: number): Array<fc.Arbitrary<WorldCommand>> {
  const entry = fc.nat(entries - 1)
  const crash = entry.map(index => createCommand(`crashEntry(${index})`, world => world.crashEntry(index),
    ({ entries: all }) => { all[index] = { isUp: false, isPaused: false } },
    ({ entries: all }) => all[index]?.isUp === true))
  const restart = entry.map(index => createCommand(`restartEntry(${index})`, world => world.restartEntry(index),
    ({ entries: all }) => { all[index] = { isUp: true, isPaused: false } }))
  const herd = fc.constant(createCommand('restartHerd()', world => world.entries.forEach((_, index) => world.restartEntry(index)),
    ({ entries: all }) => all.forEach((_, index) => { all[index] = { isUp: true, isPaused: false } })))
  const pause = entry.map(index => createCommand(`pauseEntry(${index})`, world => world.entries[index]?.pause(),
    ({ entries: all }) => { all[index] = { isUp: true, isPaused: true } },
    ({ entries: all }) => all[index]?.isUp === true && !all[index].isPaused))
  const wake = entry.map(index => createCommand(`wakeEntry(${index})`, world => world.entries[index]?.resume(),
    ({ entries: all }) => { all[index] = { isUp: true, isPaused: false } },
    ({ entries: all }) => all[index]?.isPaused === true))
  return [crash, restart, herd, pause, wake, wake]
}

export function createEngineFaults (engines: number): Array<fc.Arbitrary<WorldCommand>> {
  const engine = fc.nat(engines - 1)
  const count = fc.integer({ min: 1, max: 3 })
  const crash = engine.map(index => createCommand(`crashEngine(${index})`, world => world.crashEngine(index)))
  const reload = fc.tuple(engine, fc.constantFrom('v1', 'v2')).map(([index, weights]) =>
    createCommand(`reloadEngine(${index}, ${weights})`, world => world.crashEngine(index, weights)))
  const leave = engine.map(index => createCommand(`leaveEngine(${index})`, world => world.leaveEngine(index)))
  const cut = engine.map(index => createCommand(`cutConnections(${index})`, world => world.engines[index]?.cutAll()))
  const down = fc.tuple(engine, fc.integer({ min: 10, max: 1500 })).map(([index, ms]) => createCommand(`cutOff(${index}, ${ms})`, async world => {
    world.engines[index]?.setDown(true)
    await world.advanceBy(ms)
    world.engines[index]?.setDown(false)
  }))
  const events = fc.record({ engine, kind: fc.constantFrom('lost' as const, 'repeated' as const, 'swapped' as const), count })
    .map(draw => createCommand(`events(${JSON.stringify(draw)})`, world => {
      const host = world.engines[draw.engine]
      if (host) {
        host.faults[draw.kind] += draw.count
      }
    }))
  return [crash, reload, leave, cut, down, events, events]
}

export function createLogFaults (entries: number): Array<fc.Arbitrary<WorldCommand>> {
  const outage = fc.integer({ min: 50, max: OUTAGE_MS }).map(ms => createCommand(`logOutage(${ms})`, async world => {
    world.log.setFaults({ outage: true })
    await world.advanceBy(ms)
    world.log.setFaults({ outage: false })
  }))
  const lost = fc.integer({ min: 1, max: 3 }).map(count => createCommand(`loseAnswers(${count})`, world => world.log.setFaults({ lostAnswers: count })))
  const slow = fc.nat(400).map(ms => createCommand(`slowLog(${ms})`, world => world.log.setFaults({ slownessMs: ms })))
  const cutLog = fc.record({ index: fc.nat(entries - 1), isCut: fc.boolean() }).map(({ index, isCut }) =>
    createCommand(`cutLog(${index}, ${isCut})`, world => {
      const entry = world.entries[index]
      if (entry) {
        entry.log.isPartitioned = isCut
      }
    }))
  const cutHolder = fc.integer({ min: LEASE_TERM_MS, max: LEASE_TERM_MS + 3000 }).map(ms =>
    createCommand(`cutHolder(${ms})`, world => world.partitionHolder(ms)))
  const race = fc.tuple(fc.constantFrom(...presetNames), fc.constantFrom(...presetNames)).map(([first, second]) =>
    createCommand(`raceOperators(${first}, ${second})`, async world => {
      world.raceOperators(world.entries[0]?.store.configuration().revision ?? 0, first, second)
      await world.advanceBy(10)
    }))
  return [outage, lost, slow, cutLog, cutLog, cutHolder, race]
}
