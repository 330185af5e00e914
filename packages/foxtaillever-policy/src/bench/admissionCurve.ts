/**
 * Prints requests on time and preemptions from half of the capacity to four times, sent at once and by admission queues.
 * Run it with `node packages/foxtaillever-policy/dist/bench/admissionCurve.js`.
 */
import { AdmissionFleet } from './admissionFleet.js'
import { LARGE, SHORT } from './admissionShape.js'

for (const shortLoad of [undefined, 0.5]) {
  for (const instances of [8, 62]) {
    for (const isQueued of [false, true]) {
      for (const load of [0.5, 0.75, 1, 1.5, 2, 3, 4]) {
        const outcome = AdmissionFleet.simulate({ instances, engines: 42, load, ...shortLoad === undefined ? {} : { shortLoad }, durationMs: 8000, isQueued, hasShares: isQueued, seed: 1 })
        const [large, short] = [LARGE, SHORT].map(kind => outcome.goodput(call => call.kind === kind).toFixed(0))
        const figures = [`on time ${outcome.goodput().toFixed(0)}/s`, `large ${large}/s`, `short ${short}/s`, `short at the median ${outcome.medianWait(({ kind }) => kind === SHORT)} ms`, `preemptions ${outcome.preemptions}`, `rejections ${outcome.rejections}`]
        console.log(`${instances} instances, ${isQueued ? 'admission queue' : 'sent at once'}, load ${load}${shortLoad === undefined ? '' : ' of large prompts'}: ${figures.join(', ')}`)
      }
    }
  }
}
