/**
 * Enforces a request rate for all daemons together without coordination: a daemon may send one request in each of its send windows. Each
 * daemon's windows begin at their own phase, and are so far apart that the requests of all daemons add up to the rate. An unused window
 * is lost, since requests that were saved up would arrive in a burst.
 */
import type { Milliseconds } from '../model/identifiers.js';

/** Length of a send window: long enough that a busy daemon has a request to send in it. */
export const SEND_WINDOW: Milliseconds = 250;
const SECOND: Milliseconds = 1_000;

/**
 * Returns the time between the starts of two send windows of one daemon.
 *
 * @param rate of all daemons together, in requests per second
 */
export function sendWindowInterval(rate: number, daemons: number): Milliseconds {
  return (daemons * SECOND) / rate;
}

/** The send windows of one daemon at one server. */
export class SendWindows {
  /** Offset of the windows as a fraction of the interval, random for each daemon and server. */
  readonly #phase: number;
  #usedAt: Milliseconds = Number.NEGATIVE_INFINITY;

  /** @param phase offset of the windows, from 0 to 1 of the interval */
  constructor(phase: number) {
    this.#phase = phase;
  }

  /** Returns whether a request may be sent now. */
  allows(interval: Milliseconds, now: Milliseconds): boolean {
    const timeIntoWindow = this.#timeSinceWindowStart(interval, now);
    const isInWindow = timeIntoWindow < SEND_WINDOW;
    // One request per window: the previous one must lie before this window, and at least the gap between two windows back. Half the
    // interval separates requests where windows touch.
    const timeSinceUse = now - this.#usedAt;
    return isInWindow && timeSinceUse >= Math.max(interval - SEND_WINDOW, timeIntoWindow, interval / 2);
  }

  /** Returns the time until the next window starts. */
  timeUntilNext(interval: Milliseconds, now: Milliseconds): Milliseconds {
    return interval - this.#timeSinceWindowStart(interval, now);
  }

  /** Records that a request is sent in the current window. */
  recordSend(now: Milliseconds): void {
    this.#usedAt = now;
  }

  #timeSinceWindowStart(interval: Milliseconds, now: Milliseconds): Milliseconds {
    return (now + this.#phase * interval) % interval;
  }
}
