/** A lease's log whose failures are told: few other calls go to the store, so one that fails is reason to look. */
import type { FenceLog } from './fenceLog.js'

export function watchFenceLog (log: FenceLog, onFailed: () => void): FenceLog {
  return {
    append: async (topic, at, record) => {
      const answer = await log.append(topic, at, record)
      answer.ifLeft(onFailed)
      return answer
    },
    readAt: async (topic, offset) => await log.readAt(topic, offset)
  }
}
