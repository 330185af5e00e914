/**
 * What was counted between two samples of one instance. One that restarted in
 * between has counted anew, so its later sample stands alone.
 */
import type { Figures } from 'foxtaillever-control'

function subtractTable (later: Readonly<Record<string, number>>, earlier: Readonly<Record<string, number>>): Record<string, number> {
  return Object.fromEntries(Object.entries(later).map(([key, count]) => [key, count - (earlier[key] ?? 0)]))
}

export function subtractFigures (later: Figures, earlier: Figures | undefined): Figures {
  if (!earlier || earlier.startedAt !== later.startedAt) {
    return later
  }
  return {
    ...later,
    startedAt: earlier.takenAt,
    served: later.served - earlier.served,
    refused: subtractTable(later.refused, earlier.refused),
    failed: subtractTable(later.failed, earlier.failed),
    late: later.late - earlier.late,
    retried: later.retried - earlier.retried,
    promptTokens: later.promptTokens - earlier.promptTokens,
    cachedTokens: later.cachedTokens - earlier.cachedTokens,
    recomputedTokens: later.recomputedTokens - earlier.recomputedTokens,
    firstToken: later.firstToken.map((count, index) => count - (earlier.firstToken[index] ?? 0))
  }
}
