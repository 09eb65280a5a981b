/**
 * The periodic tick event, which drives the time-dependent work of the reducer. Timers run before sockets are polled: after a long turn of the
 * event loop, responses and messages that arrived in time are still unread. A late tick therefore waits until they have been read.
 */
import type { Milliseconds } from '../router/model/identifiers.js';
import type { LoopMonitor } from './loop-monitor.js';
import type { PollBarrier } from '../event-loop/poll-barrier.js';

export const TICK_INTERVAL_MILLISECONDS = 20;

export class RegularTick {
  readonly #monitor: LoopMonitor;
  readonly #barrier: PollBarrier;
  readonly #now: () => Milliseconds;
  readonly #action: () => void;
  #isWaitingForPoll = false;
  #timer: NodeJS.Timeout | undefined;

  /** @param action runs at each tick; ticks that come while a late one waits are skipped */
  constructor(monitor: LoopMonitor, barrier: PollBarrier, now: () => Milliseconds, action: () => void) {
    this.#monitor = monitor;
    this.#barrier = barrier;
    this.#now = now;
    this.#action = action;
  }

  /** Runs the first tick at once. */
  start(): void {
    this.#timer = setInterval(() => this.#tick(), TICK_INTERVAL_MILLISECONDS);
    this.#tick();
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  #tick(): void {
    const now = this.#now();
    this.#monitor.recordTick(now);
    if (this.#isWaitingForPoll) {
      return;
    }
    if (this.#monitor.isOnTime(now)) {
      this.#action();
      return;
    }
    this.#isWaitingForPoll = true;
    this.#barrier.afterPoll(() => {
      this.#isWaitingForPoll = false;
      this.#action();
    });
  }
}
