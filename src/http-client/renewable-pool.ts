/**
 * Connections to one origin, that are all replaced when a call on them stays without an answer. Connections may go silent without
 * a reset, and then all that were open at that moment do: each of those left would cost one more call its time-out.
 */
import type { Dispatcher, Pool as UndiciPool } from 'undici';
import Pool from 'undici/lib/dispatcher/pool.js';

/** What a call says, without where it goes and until when. */
export type PoolRequest = Omit<Dispatcher.RequestOptions, 'origin' | 'signal'>;

export class RenewablePool {
  readonly #origin: string;
  readonly #options: UndiciPool.Options;
  #pool: UndiciPool;
  /** Replaced ones, until their last call has ended. */
  readonly #retired = new Set<UndiciPool>();

  constructor(origin: string, options: UndiciPool.Options) {
    this.#origin = origin;
    this.#options = options;
    this.#pool = new Pool(origin, options);
  }

  /**
   * Makes a call. Rejects when there is no whole answer within the patience (milliseconds), or when the signal ends the call; only the
   * first says something about the connections.
   */
  async request(
    request: PoolRequest,
    patience: number,
    ended?: AbortSignal,
  ): Promise<{ answer: Dispatcher.ResponseData; text: string }> {
    const pool = this.#pool;
    const timeout = AbortSignal.timeout(patience);
    const signal = ended === undefined ? timeout : AbortSignal.any([timeout, ended]);
    try {
      const answer = await pool.request({ ...request, signal });
      return { answer, text: await answer.body.text() };
    } finally {
      if (timeout.aborted && ended?.aborted !== true) {
        this.#retire(pool);
      }
    }
  }

  /** Ends every call. */
  destroy(): void {
    void this.#pool.destroy();
    this.#retired.forEach((pool) => void pool.destroy());
  }

  #retire(pool: UndiciPool): void {
    if (pool !== this.#pool) {
      return;
    }
    this.#pool = new Pool(this.#origin, this.#options);
    this.#retired.add(pool);
    void pool.close().finally(() => this.#retired.delete(pool));
  }
}
