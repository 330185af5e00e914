/**
 * Gathers news of engines' weights for a moment and tells them twice. While a
 * dozen engines change at once, a datagram to everyone for each word filled the
 * teller's link, and what was lost sent requests to engines that turned them
 * away.
 */
import type { Cancellation, Clock } from 'foxtaillever-core'
import type { WeightsNews } from './peerMessage.js'

/** Words that are given in one go leave together, milliseconds; an order leaves a quarter of a second after its word. */
const GATHER_MS = 5

/** A datagram may be lost; the second telling comes before the order leaves, milliseconds. */
const AGAIN_MS = 120

/** Words in one datagram: some 30 bytes each. */
const MOST_TOLD = 30

interface Told {
  readonly news: WeightsNews
  readonly wasTold: boolean
}

export class WeightsTelling {
  /** By engine and model; a later word replaces an earlier one. */
  private readonly words = new Map<string, Told>()
  private cancel: Cancellation | undefined

  private constructor (private readonly clock: Clock, private readonly send: (news: readonly WeightsNews[]) => void) {}

  static create (clock: Clock, send: (news: readonly WeightsNews[]) => void): WeightsTelling {
    return new WeightsTelling(clock, send)
  }

  tell (news: WeightsNews): void {
    this.words.set(`${news.server}/${news.model}`, { news, wasTold: false })
    this.schedule(GATHER_MS)
  }

  stop (): void {
    this.cancel?.()
  }

  private schedule (afterMs: number): void {
    this.cancel?.()
    this.cancel = this.clock.at(this.clock.now() + afterMs, () => this.sendAll())
  }

  private sendAll (): void {
    const words = [...this.words]
    this.words.clear()
    words.filter(([, { wasTold }]) => !wasTold).forEach(([key, { news }]) => this.words.set(key, { news, wasTold: true }))
    for (let from = 0; from < words.length; from += MOST_TOLD) {
      this.send(words.slice(from, from + MOST_TOLD).map(([, { news }]) => news))
    }
    if (this.words.size > 0) {
      this.schedule(AGAIN_MS)
    }
  }
}
