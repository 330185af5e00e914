/**
 * Computes what an instance counted between two samples. An instance that
 * restarted in between began again at zero, so its later sample is used as it is.
 */
import type { Figures } from 'foxtaillever-control'

function subtractCounts (later: Readonly<Record<string, number>>, earlier: Readonly<Record<string, number>>): Record<string, number> {
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
    refused: subtractCounts(later.refused, earlier.refused),
    failed: subtractCounts(later.failed, earlier.failed),
    late: later.late - earlier.late,
    retried: later.retried - earlier.retried,
    promptTokens: later.promptTokens - earlier.promptTokens,
    cachedTokens: later.cachedTokens - earlier.cachedTokens,
    recomputedTokens: later.recomputedTokens - earlier.recomputedTokens,
    firstToken: later.firstToken.map((count, index) => count - (earlier.firstToken[index] ?? 0))
  }
}
