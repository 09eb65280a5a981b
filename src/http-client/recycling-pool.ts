/**
 * A connection pool for one origin that replaces all its connections when a call times out. A network failure can make connections
 * unresponsive without a reset, and affects every connection that is open at that moment: each one that stayed in the pool would
 * make another call time out.
 */
import { PROCESS_POLL_BARRIER } from '../event-loop/poll-barrier.js';
import type { Dispatcher, Pool as UndiciPool } from 'undici';
import Pool from 'undici/lib/dispatcher/pool.js';

/** A request without its origin and its abort signal. */
export type PoolRequest = Omit<Dispatcher.RequestOptions, 'origin' | 'signal'>;

/** Time from the head of a response until its end. A long list takes 0.4 s over a slow link. */
const TRANSFER_TIMEOUT_MILLISECONDS = 1_500;

/** A response had begun to arrive and was not complete in time. */
export class SlowTransferError extends Error {
  override readonly name = 'SlowTransferError';
}

async function readBody({ body }: Dispatcher.ResponseData, timeoutSignal: AbortSignal): Promise<string> {
  try {
    return await body.text();
  } catch (cause) {
    if (timeoutSignal.aborted) {
      throw new SlowTransferError('the response was not complete in time', { cause });
    }
    throw cause;
  }
}

/** Tracks which requests have been at least partly written to a connection. */
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
 * Aborts a call at its timeout. A request that has not been written is aborted at once, since it must not be sent any more.
 * Otherwise the abort waits until the sockets have been polled, since a response that arrived in time may still be unread.
 */
class TimeoutSignal {
  readonly #controller = new AbortController();
  readonly #isWritten: () => boolean;
  #timer: NodeJS.Timeout;

  /**
   * @param timeout in milliseconds
   * @param isWritten whether the request has been at least partly written
   */
  constructor(timeout: number, isWritten: () => boolean) {
    this.#isWritten = isWritten;
    this.#timer = this.#start(timeout);
  }

  /** Starts a new timeout in place of the current one. */
  restart(timeout: number): void {
    this.clear();
    this.#timer = this.#start(timeout);
  }

  #start(timeout: number): NodeJS.Timeout {
    const abort = (): void => this.#abort(timeout);
    const timer = setTimeout(() => {
      if (this.#isWritten()) {
        PROCESS_POLL_BARRIER.afterPoll(abort);
      } else {
        abort();
      }
    }, timeout);
    return timer.unref();
  }

  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  /** Cancels the timeout, as the call has ended. */
  clear(): void {
    clearTimeout(this.#timer);
  }

  #abort(timeout: number): void {
    this.#controller.abort(new DOMException(`no answer within ${timeout} ms`, 'TimeoutError'));
  }
}

/** When a response must have begun, in milliseconds from the start of the call, and what to do if it has not. */
export interface DueTime {
  readonly time: number;
  readonly onOverdue: () => void;
}

export class RecyclingPool {
  readonly #origin: string;
  readonly #options: UndiciPool.Options;
  #pool: TrackingPool;
  #isDestroyed = false;
  /** Replaced pools whose last calls have not ended yet. */
  readonly #retired = new Set<TrackingPool>();

  constructor(origin: string, options: UndiciPool.Options) {
    this.#origin = origin;
    this.#options = options;
    this.#pool = new TrackingPool(origin, options);
  }

  /**
   * Makes a call. Rejects if no response begins within the timeout (milliseconds), with a `SlowTransferError` if the rest of it takes
   * too long, or if `cancelSignal` aborts the call. A timeout or an overdue response replaces the connections for later calls; a
   * cancelled call does not, since it does not show that they have failed.
   */
  async request(
    request: PoolRequest,
    timeout: number,
    cancelSignal?: AbortSignal,
    due: DueTime | null = null,
  ): Promise<{ answer: Dispatcher.ResponseData; text: string }> {
    const pool = this.#pool;
    const dueSignal = due === null ? null : this.#watchDueTime(pool, due, () => pool.isWritten(call));
    const timeoutSignal: TimeoutSignal = new TimeoutSignal(timeout, () => pool.isWritten(call));
    const signal =
      cancelSignal === undefined
        ? timeoutSignal.signal
        : AbortSignal.any([timeoutSignal.signal, cancelSignal]);
    const call: Dispatcher.RequestOptions = { ...request, signal };
    try {
      const answer = await pool.request(call);
      dueSignal?.clear();
      timeoutSignal.restart(TRANSFER_TIMEOUT_MILLISECONDS);
      return { answer, text: await readBody(answer, timeoutSignal.signal) };
    } finally {
      dueSignal?.clear();
      timeoutSignal.clear();
      if (timeoutSignal.signal.aborted && cancelSignal?.aborted !== true) {
        this.#retire(pool);
      }
    }
  }

  /** Closes all connections, which fails the calls that are in progress. */
  destroy(): void {
    this.#isDestroyed = true;
    void this.#pool.destroy();
    this.#retired.forEach((pool) => void pool.destroy());
  }

  #watchDueTime(pool: TrackingPool, { time, onOverdue }: DueTime, isWritten: () => boolean): TimeoutSignal {
    const dueSignal = new TimeoutSignal(time, isWritten);
    dueSignal.signal.addEventListener('abort', () => {
      this.#retire(pool);
      onOverdue();
    });
    return dueSignal;
  }

  #retire(pool: TrackingPool): void {
    if (pool !== this.#pool || this.#isDestroyed) {
      return;
    }
    this.#pool = new TrackingPool(this.#origin, this.#options);
    this.#retired.add(pool);
    void pool.close().finally(() => this.#retired.delete(pool));
  }
}
