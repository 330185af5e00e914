import { readFile } from 'node:fs/promises'
import { AdministrativeState, emptyConfiguration, PresetName } from 'foxtaillever-core'
import { describe, it } from 'foxtaillever-testing'
import { createConfiguration, distanceBetween, formatErrors, loadConfigurationFile, loadRouterSettings, renderEditorSchemas } from '../index.js'

const packageRoot = new URL('../../', import.meta.url)
const environment = { FOXTAILLEVER_MEMBER_KEY_2026_11: '0'.repeat(64) }

function pathOf (name: string): string {
  return new URL(name, packageRoot).pathname
}

describe('examples', () => {
  for (const deployment of ['sertaneja', 'presedan']) {
    describe(deployment, () => {
      it('has a valid configuration of the current size', async t => {
        const loaded = await loadConfigurationFile(pathOf(`examples/${deployment}.configuration.jsonc`))
        t.deepEqual(formatErrors(loaded), [])
        const { accounts, servers } = createConfiguration(loaded.unsafeCoerce())
        t.is(Object.keys(accounts).length, 8)
        t.is(Object.values(servers).filter(server => server.kind === 'language').length, 6)
      })

      it('has valid router settings', async t => {
        const loaded = await loadRouterSettings(pathOf(`examples/${deployment}.router.jsonc`), environment)
        t.deepEqual(formatErrors(loaded), [])
        const { distances, failureDomain } = loaded.unsafeCoerce()
        t.is(distances.length, 3)
        t.is(distanceBetween(distances, failureDomain, failureDomain), 0)
        t.is(distanceBetween(distances, failureDomain, 'elsewhere'), undefined)
      })
    })
  }

  // An operator switches to peaks and drains a server; a colleague then publishes
  // the file for another change. If the file set what commands set, publishing it
  // would undo the switch unintentionally.
  it('undo no switch and no drain when published again', async t => {
    const file = (await loadConfigurationFile(pathOf('examples/sertaneja.configuration.jsonc'))).unsafeCoerce()
    const first = createConfiguration(file, { ...emptyConfiguration, presetInForce: PresetName.Peaks })
    const server = Object.values(first.servers)[0]
    t.truthy(server)
    const drained = { ...first, servers: { ...first.servers, [server?.name ?? '']: { ...server, state: AdministrativeState.Draining } } }
    const again = createConfiguration(file, drained as typeof first)
    t.is(again.presetInForce, PresetName.Peaks)
    t.is(again.servers[server?.name ?? '']?.state, AdministrativeState.Draining)
  })
})

describe('schemas for editors', () => {
  for (const [name, text] of Object.entries(renderEditorSchemas())) {
    it(`${name} matches the schema that the code validates`, async t => {
      t.is(await readFile(pathOf(`schemas/${name}`), 'utf8'), text)
    })
  }
})
