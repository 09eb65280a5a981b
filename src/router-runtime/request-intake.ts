/**
 * Requests that have been read and wait to be taken in: until the end of their connection would have been read, and for their turn while the
 * daemon is behind. Taking in is done in short slices with a poll of the sockets between them. A daemon that is behind takes the newest
 * first, since the others have less time left, and ends those that can't be in time any more, which costs little.
 */
import type { Milliseconds } from '../router/model/identifiers.js';
import type { PollBarrier } from '../event-loop/poll-barrier.js';

/** Requests that are too late are ended for this long before the sockets are polled again. */
const SLICE: Milliseconds = 10;
/** Others are taken in for as long as has passed since the last slice, within these bounds: reading must not crowd out the work. */
const LONGEST_SLICE: Milliseconds = 100;
/** A daemon is behind when its oldest request has waited for longer than this. */
const LONGEST_WAIT_IN_ORDER: Milliseconds = 50;

/** A request that waits. */
interface Waiting<Request> {
  readonly request: Request;
  /** The earliest moment at which it may have come. */
  readonly arrivedAt: Milliseconds;
  /** It can't be answered in time after this moment. */
  readonly lateAt: Milliseconds;
}

export class RequestIntake<Request> {
  readonly #barrier: PollBarrier;
  readonly #now: () => Milliseconds;
  readonly #take: (request: Request, waited: Milliseconds) => void;
  /** Read since the barrier was last asked for a poll. */
  #read: Waiting<Request>[] = [];
  /** In the order of their reading. */
  #waiting: Waiting<Request>[] = [];
  #isScheduled = false;
  /** The end of the last slice. */
  #workedAt: Milliseconds = Number.NEGATIVE_INFINITY;

  /** @param take takes a request in, or refuses it; told how long it may have waited */
  constructor(
    barrier: PollBarrier,
    now: () => Milliseconds,
    take: (request: Request, waited: Milliseconds) => void,
  ) {
    this.#barrier = barrier;
    this.#now = now;
    this.#take = take;
  }

  /** No request waits. */
  get isEmpty(): boolean {
    return this.#read.length === 0 && this.#waiting.length === 0;
  }

  /**
   * A request was read.
   *
   * @param readDelay how long it may have waited unread
   * @param longestDelay it can't be answered in time if it has waited for longer
   */
  add(request: Request, readDelay: Milliseconds, longestDelay: Milliseconds): void {
    const arrivedAt = this.#now() - readDelay;
    this.#read.push({ request, arrivedAt, lateAt: arrivedAt + longestDelay });
    if (this.#read.length === 1) {
      this.#barrier.afterPoll(() => this.#endPoll());
    }
  }

  #endPoll(): void {
    this.#waiting.push(...this.#read);
    this.#read = [];
    if (!this.#isScheduled) {
      this.#work();
    }
  }

  #work(): void {
    this.#isScheduled = false;
    const polled = Math.min(LONGEST_SLICE, this.#now() - this.#workedAt);
    this.#endLate();
    this.#takeSome(Math.max(SLICE, polled));
    this.#workedAt = this.#now();
    if (this.#waiting.length > 0) {
      this.#isScheduled = true;
      this.#barrier.afterPoll(() => this.#work());
    }
  }

  #endLate(): void {
    const startedAt = this.#now();
    const inTime: Waiting<Request>[] = [];
    for (const waiting of this.#waiting) {
      const now = this.#now();
      if (now >= waiting.lateAt && now - startedAt < SLICE) {
        this.#take(waiting.request, now - waiting.arrivedAt);
      } else {
        inTime.push(waiting);
      }
    }
    this.#waiting = inTime;
  }

  #takeSome(slice: Milliseconds): void {
    const startedAt = this.#now();
    const oldest = this.#waiting[0]?.arrivedAt ?? startedAt;
    const isBehind = startedAt - oldest > LONGEST_WAIT_IN_ORDER;
    // Reversed, so that the next one is always the last.
    const queue = isBehind ? this.#waiting : this.#waiting.toReversed();
    for (let now = startedAt; queue.length > 0 && now - startedAt < slice; now = this.#now()) {
      const { request, arrivedAt } = queue.pop() as Waiting<Request>;
      this.#take(request, now - arrivedAt);
    }
    this.#waiting = isBehind ? queue : queue.toReversed();
  }
}
