/**
 * Delays an action until all data that sockets had received before has been read. A turn of the event loop runs timers, then polls the
 * sockets, then runs immediates, so that a whole poll lies between two immediates. The end of a connection is read one poll later than the
 * data before it: without the delay, a daemon that is behind would act on a request without knowing that its caller has disconnected.
 * A poll accepts one connection per listening socket. As long as polls accept connections, further polls therefore run before the delayed
 * actions; otherwise each of the remaining connections would wait for a whole turn of the loop.
 */
import type { Server } from 'node:net';
import { PROCESS_CLOCK } from '../clock/process-clock.js';
import type { Milliseconds } from '../router/model/identifiers.js';

/** The state of a connection counts as current if the last poll of the sockets is no older than this. */
const MAX_POLL_AGE: Milliseconds = 200;

/** The longest time for which accepting connections may delay actions. */
const MAX_ACCEPTING_TIME: Milliseconds = 50;

type Action = () => void;

export class PollBarrier {
  readonly #now: () => Milliseconds;
  /** Actions added since the last immediate: the current poll may have passed their sockets already. */
  #awaitingNextPoll: Action[] = [];
  /** Actions that were added before the current poll began. */
  #awaitingCurrentPoll: Action[] = [];
  #pollStartedAt: Milliseconds = Number.NEGATIVE_INFINITY;
  /** All data that sockets received before this time has been read. */
  #allReadUntil: Milliseconds = Number.NEGATIVE_INFINITY;
  #isScheduled = false;
  #isLoopOnTime: () => boolean = () => false;
  /** The current poll has accepted a connection. */
  #hasAccepted = false;
  /** Since when consecutive polls have accepted connections without running actions in between. */
  #acceptingSince: Milliseconds | null = null;

  constructor(now: () => Milliseconds = () => performance.now()) {
    this.#now = now;
  }

  /** Delays actions while a server accepts connections. */
  watch(server: Server): void {
    server.on('connection', () => {
      this.#hasAccepted = true;
    });
  }

  /** Records a suspension of the machine: data read before it is stale, whether or not the clock has counted that time. */
  recordSuspension(): void {
    this.#allReadUntil = Number.NEGATIVE_INFINITY;
  }

  /** Runs an action after the next whole poll. */
  afterPoll(action: Action): void {
    this.#awaitingNextPoll.push(action);
    this.#schedule();
  }

  /**
   * Sets the check that reports whether the loop has polled its sockets a short time ago.
   *
   * @param isOnTime returns true only if that is certain
   */
  setLoopCheck(isOnTime: () => boolean): void {
    this.#isLoopOnTime = isOnTime;
  }

  /** Runs an action at once if the sockets were polled a short time ago, otherwise after further polls. */
  whenRecentlyPolled(action: Action): void {
    if (this.#isLoopOnTime() || this.#now() - this.#allReadUntil <= MAX_POLL_AGE) {
      action();
    } else {
      this.afterPoll(() => this.whenRecentlyPolled(action));
    }
  }

  #schedule(): void {
    if (!this.#isScheduled) {
      this.#isScheduled = true;
      setImmediate(() => this.#onPolled());
    }
  }

  #onPolled(): void {
    this.#isScheduled = false;
    const due = this.#awaitingCurrentPoll;
    this.#allReadUntil = this.#pollStartedAt;
    this.#awaitingCurrentPoll = this.#awaitingNextPoll;
    this.#awaitingNextPoll = [];
    if (this.#mayAcceptMore()) {
      this.#awaitingCurrentPoll.unshift(...due);
    } else {
      due.forEach((action) => action());
    }
    this.#pollStartedAt = this.#now();
    if (this.#awaitingCurrentPoll.length > 0) {
      this.#schedule();
    } else {
      this.#acceptingSince = null;
    }
  }

  /** Returns whether more connections are likely to wait that should be accepted before actions run. */
  #mayAcceptMore(): boolean {
    const now = this.#now();
    const hasAccepted = this.#hasAccepted;
    this.#hasAccepted = false;
    this.#acceptingSince = hasAccepted ? (this.#acceptingSince ?? now) : null;
    if (this.#acceptingSince !== null && now - this.#acceptingSince >= MAX_ACCEPTING_TIME) {
      this.#acceptingSince = null;
      return false;
    }
    return hasAccepted;
  }
}

/** The barrier of this process's event loop. */
export const PROCESS_POLL_BARRIER = new PollBarrier(() => PROCESS_CLOCK.now());
