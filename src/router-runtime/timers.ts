/** Clock and timers for decisions of the runtime: those of the process, or virtual time in tests. */
import { PROCESS_CLOCK } from '../clock/process-clock.js';
import type { Milliseconds } from '../router/model/identifiers.js';

/**
 * The longest delay of a timer of the process. Node.js runs timers with a delay over 2^31 - 1 ms at once, and adds up to a second to some
 * timeouts that it is given.
 */
export const MAX_DELAY: Milliseconds = 2_000_000_000;

/** Returns a delay that a timer of the process can have. */
export function boundedDelay(delay: Milliseconds): Milliseconds {
  return Math.min(delay, MAX_DELAY);
}

/** Cancels a timer that has not fired. */
export type CancelTimer = () => void;

/** A clock and timers. */
export interface Timers {
  now(): Milliseconds;
  /** Runs an action once, after a delay. */
  after(delay: Milliseconds, action: () => void): CancelTimer;
}

/** The clock and timers of this process. */
export const PROCESS_TIMERS: Timers = {
  now: () => PROCESS_CLOCK.now(),
  after(delay, action) {
    const timer = setTimeout(action, boundedDelay(delay));
    return () => clearTimeout(timer);
  },
};
