/** Clock and timers for decisions of the runtime: those of the process, or virtual time in tests. */
import { PROCESS_CLOCK } from '../clock/process-clock.js';
import type { Milliseconds } from '../router/model/identifiers.js';

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
    const timer = setTimeout(action, delay);
    return () => clearTimeout(timer);
  },
};
