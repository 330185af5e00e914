/** Runs a test on a small embedded deployment, which is stopped even if the test fails. */
import { PlacementPolicy } from 'foxtaillever-core'
import type { InstanceLimits } from 'foxtaillever-router'
import { EmbeddedDeployment } from '../deployment/embeddedDeployment.js'
import { shapes, type Shape } from '../deployment/shape.js'

export const smallShape: Shape = { ...shapes['sertaneja'] as Shape, instances: 2, workers: 2, answerTokens: 4, clientDelayMs: 0 }

export async function withDeployment (run: (deployment: EmbeddedDeployment) => Promise<void>, limits: Partial<InstanceLimits> = {}): Promise<void> {
  const deployment = await EmbeddedDeployment.start({ shape: smallShape, limits, placement: PlacementPolicy.ExpectedFirstToken, seed: 1 })
  try {
    await run(deployment)
  } finally {
    await deployment.stop()
  }
}

const LOOK_MS = 5

/** Waits until a condition holds; if it never does, the test's own timeout ends the wait. */
export async function until (holds: () => boolean): Promise<void> {
  while (!holds()) {
    await new Promise(resolve => setTimeout(resolve, LOOK_MS))
  }
}
