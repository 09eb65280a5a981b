/**
 * Queue of requests that have been read but not yet handled. A request waits for a poll that would also have read its caller's disconnect,
 * and for its turn while the daemon is behind. Requests are handled in short slices, and the sockets are polled between slices. A daemon
 * that is behind handles the newest requests first (LIFO), because older ones have less time left, and first passes on those that can't be
 * answered in time any more, which are cheap to refuse.
 */
import type { Milliseconds } from '../router/model/identifiers.js';
import type { PollBarrier } from '../event-loop/poll-barrier.js';

/** The longest time spent on expired requests, and the shortest slice for the others, before the sockets are polled again. */
const MIN_SLICE: Milliseconds = 10;
/** A slice lasts as long as the time since the last slice, up to this bound, so that reading sockets doesn't crowd out handling requests. */
const MAX_SLICE: Milliseconds = 100;
/** The daemon is behind, and handles the newest requests first, when its oldest request has waited for longer than this. */
const MAX_FIFO_WAIT: Milliseconds = 50;

interface QueuedRequest<Request> {
  readonly request: Request;
  /** The earliest time at which the request may have arrived. */
  readonly arrivedAt: Milliseconds;
  /** From this time on the request can't be answered in time. */
  readonly expiresAt: Milliseconds;
}

export class ArrivalQueue<Request> {
  readonly #barrier: PollBarrier;
  readonly #now: () => Milliseconds;
  readonly #handle: (request: Request, waited: Milliseconds) => void;
  /** Requests that wait for the next whole poll. */
  #awaitingPoll: QueuedRequest<Request>[] = [];
  /** Requests that may be handled, in the order in which they were read. */
  #queued: QueuedRequest<Request>[] = [];
  #isSliceScheduled = false;
  #lastSliceEndedAt: Milliseconds = Number.NEGATIVE_INFINITY;

  /** @param handle handles or refuses a request, given how many milliseconds it may have waited */
  constructor(
    barrier: PollBarrier,
    now: () => Milliseconds,
    handle: (request: Request, waited: Milliseconds) => void,
  ) {
    this.#barrier = barrier;
    this.#now = now;
    this.#handle = handle;
  }

  /** Returns whether no request is queued. */
  get isEmpty(): boolean {
    return this.#awaitingPoll.length === 0 && this.#queued.length === 0;
  }

  /**
   * Adds a request that was read.
   *
   * @param readDelay milliseconds that the request may have waited unread
   * @param longestDelay milliseconds after its arrival from which the request can't be answered in time
   */
  add(request: Request, readDelay: Milliseconds, longestDelay: Milliseconds): void {
    const arrivedAt = this.#now() - readDelay;
    this.#awaitingPoll.push({ request, arrivedAt, expiresAt: arrivedAt + longestDelay });
    if (this.#awaitingPoll.length === 1) {
      this.#barrier.afterPoll(() => this.#onPolled());
    }
  }

  #onPolled(): void {
    this.#queued.push(...this.#awaitingPoll);
    this.#awaitingPoll = [];
    if (!this.#isSliceScheduled) {
      this.#runSlice();
    }
  }

  #runSlice(): void {
    this.#isSliceScheduled = false;
    const sinceLastSlice = Math.min(MAX_SLICE, this.#now() - this.#lastSliceEndedAt);
    this.#handleExpired();
    this.#handleSlice(Math.max(MIN_SLICE, sinceLastSlice));
    this.#lastSliceEndedAt = this.#now();
    if (this.#queued.length > 0) {
      this.#isSliceScheduled = true;
      this.#barrier.afterPoll(() => this.#runSlice());
    }
  }

  #handleExpired(): void {
    const startedAt = this.#now();
    const remaining: QueuedRequest<Request>[] = [];
    for (const queued of this.#queued) {
      const now = this.#now();
      if (now >= queued.expiresAt && now - startedAt < MIN_SLICE) {
        this.#handle(queued.request, now - queued.arrivedAt);
      } else {
        remaining.push(queued);
      }
    }
    this.#queued = remaining;
  }

  #handleSlice(slice: Milliseconds): void {
    const startedAt = this.#now();
    const oldest = this.#queued[0]?.arrivedAt ?? startedAt;
    const isBehind = startedAt - oldest > MAX_FIFO_WAIT;
    // The next request is always the last of the queue, so that it can be popped.
    const queue = isBehind ? this.#queued : this.#queued.toReversed();
    for (let now = startedAt; queue.length > 0 && now - startedAt < slice; now = this.#now()) {
      const { request, arrivedAt } = queue.pop() as QueuedRequest<Request>;
      this.#handle(request, now - arrivedAt);
    }
    this.#queued = isBehind ? queue : queue.toReversed();
  }
}
