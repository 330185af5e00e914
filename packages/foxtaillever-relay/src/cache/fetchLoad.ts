/**
 * Prompt tokens on their way from the store of cached levels: those that this
 * instance asked engines to fetch for requests without an answer yet, and those
 * that the others told. All engines share the store's one link, so the sum says
 * how long the next fetch waits.
 */
export class FetchLoad {
  private own = 0

  private constructor (private readonly othersTokens: (store: string) => number) {}

  /** @param othersTokens tokens that the other instances have on their way from the store at the address. */
  static create (othersTokens: (store: string) => number): FetchLoad {
    return new FetchLoad(othersTokens)
  }

  get ownTokens (): number {
    return this.own
  }

  tokensFrom (store: string): number {
    return this.own + this.othersTokens(store)
  }

  begin (tokens: number): void {
    this.own += tokens
  }

  end (tokens: number): void {
    this.own -= tokens
  }
}
