/**
 * The regular tick by which a daemon learns that time has passed. Timers run before sockets are polled: after a long turn, answers and messages that came
 * in time still lie there unread, so that a late tick waits until they have been read.
 */
import type { Milliseconds } from '../router/model/identifiers.js';
import type { LoopMonitor } from './loop-monitor.js';
import type { PollBarrier } from '../event-loop/poll-barrier.js';

/** Milliseconds between two ticks. */
export const TICK_INTERVAL_MILLISECONDS = 20;

export class RegularTick {
  readonly #monitor: LoopMonitor;
  readonly #barrier: PollBarrier;
  readonly #now: () => Milliseconds;
  readonly #action: () => void;
  #isWaiting = false;
  #timer: NodeJS.Timeout | undefined;

  /** @param action is run at each tick */
  constructor(monitor: LoopMonitor, barrier: PollBarrier, now: () => Milliseconds, action: () => void) {
    this.#monitor = monitor;
    this.#barrier = barrier;
    this.#now = now;
    this.#action = action;
  }

  /** Begins with a tick at once. */
  start(): void {
    this.#timer = setInterval(() => this.#tick(), TICK_INTERVAL_MILLISECONDS);
    this.#tick();
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  #tick(): void {
    const now = this.#now();
    this.#monitor.noteTick(now);
    if (this.#isWaiting) {
      return;
    }
    if (this.#monitor.isOnTime(now)) {
      this.#action();
      return;
    }
    this.#isWaiting = true;
    this.#barrier.afterPoll(() => {
      this.#isWaiting = false;
      this.#action();
    });
  }
}
