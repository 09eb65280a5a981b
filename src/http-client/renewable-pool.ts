/**
 * Connections to one origin, that are all replaced when a call on them stays without an answer. Connections may go silent without
 * a reset, and then all that were open at that moment do: each of those left would cost one more call its time-out.
 */
import { PROCESS_BARRIER } from '../event-loop/poll-barrier.js';
import type { Dispatcher, Pool as UndiciPool } from 'undici';
import Pool from 'undici/lib/dispatcher/pool.js';

/** What a call says, without where it goes and until when. */
export type PoolRequest = Omit<Dispatcher.RequestOptions, 'origin' | 'signal'>;

/** Knows which calls have begun to be written. */
class TrackingPool extends Pool {
  readonly #written = new WeakSet<Dispatcher.DispatchOptions>();

  override dispatch(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): boolean {
    const onConnect = handler.onConnect?.bind(handler);
    handler.onConnect = (abort) => {
      this.#written.add(options);
      onConnect?.(abort);
    };
    return super.dispatch(options, handler);
  }

  isWritten(options: Dispatcher.DispatchOptions): boolean {
    return this.#written.has(options);
  }
}

/**
 * Aborts a call when its time is over: at once if it has not been written, since it must not be any more; else once the sockets have been read,
 * since an answer that came in time may lie there.
 */
class PatienceSignal {
  readonly #controller = new AbortController();
  readonly #timer: NodeJS.Timeout;

  /**
   * @param patience in milliseconds
   * @param isWritten whether the call has begun to be written
   */
  constructor(patience: number, isWritten: () => boolean) {
    const abort = (): void => this.#abort(patience);
    this.#timer = setTimeout(() => {
      if (isWritten()) {
        PROCESS_BARRIER.afterPoll(abort);
      } else {
        abort();
      }
    }, patience);
    this.#timer.unref();
  }

  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  /** The call has ended. */
  clear(): void {
    clearTimeout(this.#timer);
  }

  #abort(patience: number): void {
    this.#controller.abort(new DOMException(`no answer within ${patience} ms`, 'TimeoutError'));
  }
}

export class RenewablePool {
  readonly #origin: string;
  readonly #options: UndiciPool.Options;
  #pool: TrackingPool;
  /** Replaced ones, until their last call has ended. */
  readonly #retired = new Set<TrackingPool>();

  constructor(origin: string, options: UndiciPool.Options) {
    this.#origin = origin;
    this.#options = options;
    this.#pool = new TrackingPool(origin, options);
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
    const timeout: PatienceSignal = new PatienceSignal(patience, () => pool.isWritten(call));
    const signal = ended === undefined ? timeout.signal : AbortSignal.any([timeout.signal, ended]);
    const call: Dispatcher.RequestOptions = { ...request, signal };
    try {
      const answer = await pool.request(call);
      return { answer, text: await answer.body.text() };
    } finally {
      timeout.clear();
      if (timeout.signal.aborted && ended?.aborted !== true) {
        this.#retire(pool);
      }
    }
  }

  /** Ends every call. */
  destroy(): void {
    void this.#pool.destroy();
    this.#retired.forEach((pool) => void pool.destroy());
  }

  #retire(pool: TrackingPool): void {
    if (pool !== this.#pool) {
      return;
    }
    this.#pool = new TrackingPool(this.#origin, this.#options);
    this.#retired.add(pool);
    void pool.close().finally(() => this.#retired.delete(pool));
  }
}
