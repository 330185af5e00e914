import { createServer, type AddressInfo } from 'node:net'
import { emptyConfiguration, FailureCode, PresetName, PriorityClass, Verdict, type ClientAccount } from 'foxtaillever-core'
import { ChangeKind, PublicationOutcome } from 'foxtaillever-fleet'
import { describe, it } from 'foxtaillever-testing'
import { FakeControl, serveControl } from '../__fixtures__/fakeControl.js'
import { compareConfigurations, ControlClient, describeChanges, mayMoveTraffic, Operators } from '../index.js'

const token = 'token-of-rui'
const switchToPeaks = [{ kind: ChangeKind.SwitchPreset as const, name: PresetName.Peaks }]

async function withControl (run: (client: ControlClient, control: FakeControl, address: string) => Promise<void>): Promise<void> {
  const control = FakeControl.create('entry-1')
  const served = await serveControl(control, { rui: token })
  try {
    await run(ControlClient.create(served.address, token), control, served.address)
  } finally {
    served.close()
  }
}

describe('control', () => {
  describe('publication', () => {
    it('is accepted on the revision in force, under the name of the token', async t => {
      await withControl(async client => {
        const answer = (await client.publish(0, switchToPeaks, 1000)).unsafeCoerce()
        t.is(answer.outcome, PublicationOutcome.Accepted)
        t.is(answer.author, 'rui')
        const view = (await client.configuration()).unsafeCoerce()
        t.is(view.configuration.presetInForce, PresetName.Peaks)
      })
    })

    // Two operators start from the same revision. The second publication must not
    // undo the first, and its operator must learn who published first.
    it('is refused on an old revision, with the revision in force and its author', async t => {
      await withControl(async client => {
        await client.publish(0, switchToPeaks, 1000)
        const answer = (await client.publish(0, switchToPeaks, 1000)).unsafeCoerce()
        t.is(answer.outcome, PublicationOutcome.Refused)
        t.deepEqual([answer.revision, answer.author], [1, 'rui'])
      })
    })

    it('of an invalid change is refused before anything runs', async t => {
      await withControl(async (client, control) => {
        const bad = [{ kind: ChangeKind.SwitchPreset as const, name: 'holidays' as PresetName }]
        const failure = (await client.publish(0, bad, 1000)).swap().unsafeCoerce()
        t.is(failure.verdict, Verdict.NotRun)
        t.is(control.currentConfiguration.revision, 0)
      })
    })

    // The connection is lost after the request was sent. The verdict must not be
    // "not run": the record may be in the log.
    it('may have run when its answer is lost', async t => {
      const server = createServer(socket => socket.once('data', () => socket.destroy()))
      await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
      const { port } = server.address() as AddressInfo
      const failure = (await ControlClient.create(`127.0.0.1:${port}`, 'x').publish(0, switchToPeaks, 1000)).swap().unsafeCoerce()
      server.close()
      t.is(failure.verdict, Verdict.MayHaveRun)
    })

    it('did not run when nothing listens on the port', async t => {
      const server = createServer()
      await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
      const { port } = server.address() as AddressInfo
      await new Promise(resolve => server.close(resolve))
      const failure = (await ControlClient.create(`127.0.0.1:${port}`, 'x').publish(0, switchToPeaks, 1000)).swap().unsafeCoerce()
      t.deepEqual([failure.code, failure.verdict], [FailureCode.ConnectionRefused, Verdict.NotRun])
    })
  })

  describe('tokens', () => {
    it('that are unknown are refused', async t => {
      await withControl(async (_, control, address) => {
        const failure = (await ControlClient.create(address, 'wrong').publish(0, switchToPeaks, 1000)).swap().unsafeCoerce()
        t.deepEqual([failure.code, failure.verdict], [FailureCode.Unauthenticated, Verdict.NotRun])
        t.is(control.currentConfiguration.revision, 0)
      })
    })

    it('are all accepted while one is replaced', t => {
      const digests = ['0b0df91ba07bfc2e7b40d89ec73cf0ebf6a66b3e5d1f2d1cb2a2e46ba6a1f0c5', '9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08']
      const operators = Operators.create([{ name: 'ana', tokenDigests: digests }])
      // The second digest is that of "test".
      t.is(operators.authenticate('Bearer test'), 'ana')
      t.is(operators.authenticate('Bearer tess'), '')
      t.is(operators.authenticate(undefined), '')
    })
  })

  describe('comparison', () => {
    const account: ClientAccount = { name: 'vale', keyDigests: [], weight: 2, priority: PriorityClass.Standard, tokensPerSecond: 9, concurrentRequests: 1 }
    const other = { ...emptyConfiguration, accounts: { vale: account }, presetInForce: PresetName.Peaks }

    it('of equal configurations is empty', t => {
      t.deepEqual(compareConfigurations(other, structuredClone(other)), [])
    })

    it('lists differences, one line per part', t => {
      const heavier = { ...other, accounts: { vale: { ...account, weight: 3 } } }
      t.deepEqual(describeChanges(emptyConfiguration, compareConfigurations(emptyConfiguration, other)), ['+ account vale', '! preset in force ordinary-days -> peaks'])
      t.deepEqual(describeChanges(other, compareConfigurations(other, heavier)), ['~ account vale: weight 2 -> 3'])
      t.deepEqual(describeChanges(other, compareConfigurations(other, emptyConfiguration)), ['- account vale', '! preset in force peaks -> ordinary-days'])
    })

    it('finds changes that may move traffic', t => {
      t.true(mayMoveTraffic(switchToPeaks))
      t.false(mayMoveTraffic([{ kind: ChangeKind.PutAccount, account }]))
    })
  })
})
