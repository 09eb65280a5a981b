/**
 * The regular tick by which a daemon learns that time has passed. Timers run before sockets are polled: after a long turn, answers and messages that came
 * in time still lie there unread, so that a late tick waits until they have been read.
 */
import type { LoopMonitor } from './loop-monitor.js';
import type { PollBarrier } from '../event-loop/poll-barrier.js';

/** Milliseconds between two ticks. */
export const TICK_INTERVAL_MILLISECONDS = 20;
/** A tick that is later than this waits for the sockets. */
const LONGEST_DELAY_MILLISECONDS = 10;

export class RegularTick {
  readonly #monitor: LoopMonitor;
  readonly #barrier: PollBarrier;
  readonly #action: () => void;
  #isWaiting = false;
  #timer: NodeJS.Timeout | undefined;

  /** @param action is run at each tick */
  constructor(monitor: LoopMonitor, barrier: PollBarrier, action: () => void) {
    this.#monitor = monitor;
    this.#barrier = barrier;
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
    const delay = this.#monitor.noteTick(performance.now());
    if (this.#isWaiting) {
      return;
    }
    if (delay < LONGEST_DELAY_MILLISECONDS) {
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
