/** Creates records of a configuration of the two-year size, with entries as long as real ones. */
import { AdministrativeState, PresetName, PriorityClass, RecordKind, ServerKind, type LogRecord } from 'foxtaillever-core'
import { ChangeKind, type Change } from 'foxtaillever-fleet'
import { twoYearSize } from '../sizes.js'

function createAccount (index: number): Change {
  const name = `account-${index}`
  const digest = index.toString(16).padStart(64, '0')
  return { kind: ChangeKind.PutAccount, account: { name, keyDigests: [digest], weight: 1, priority: PriorityClass.Standard, tokensPerSecond: 20_000, concurrentRequests: 200 } }
}

function createServer (index: number): Change {
  return {
    kind: ChangeKind.PutServer,
    server: {
      name: `language-worker-${index}`,
      kind: ServerKind.Language,
      address: `10.1.${index >> 8}.${index & 255}:8000`,
      failureDomain: `domain-${index % twoYearSize.failureDomains}`,
      models: [`model-${index % twoYearSize.models}`],
      slots: 64,
      prefillTokensPerSecond: 20_000,
      decodeTokensPerSecond: 2000,
      cacheTokens: 400_000,
      checksFencing: index % 2 === 0,
      checksCaller: true,
      state: AdministrativeState.InService
    }
  }
}

function createModel (index: number): Change {
  return { kind: ChangeKind.PutModel, model: { name: `model-${index}`, weightsVersion: 'v1', adapters: [] } }
}

function repeatChange (count: number, create: (index: number) => Change): readonly Change[] {
  return Array.from({ length: count }, (_, index) => create(index))
}

/** Creates one record that adds all accounts, servers and models. */
export function createFullRecord (offset: number): LogRecord {
  const changes = [
    ...repeatChange(twoYearSize.accounts, createAccount),
    ...repeatChange(twoYearSize.workers, createServer),
    ...repeatChange(twoYearSize.models, createModel)
  ]
  return createRecord(offset, 0, changes)
}

export function createRecord (offset: number, base: number, changes: readonly Change[]): LogRecord {
  const now = Date.now()
  return { offset, id: `record-${offset}`, kind: RecordKind.Configuration, writtenAt: now, appendedAt: now, body: { base, author: 'operator', changes } }
}

/** Creates a preset switch that alternates with the offset between two presets. */
export function createPresetSwitch (offset: number, base: number): LogRecord {
  const name = offset % 2 === 0 ? PresetName.Peaks : PresetName.OrdinaryDays
  return createRecord(offset, base, [{ kind: ChangeKind.SwitchPreset, name }])
}

/** Creates a change of one account, the most frequent kind of change. */
export function createAccountChange (offset: number, base: number): LogRecord {
  const change = createAccount(offset % twoYearSize.accounts)
  return createRecord(offset, base, [change])
}
