/** Time as the runtime's own decisions see it: the process's steady clock, or virtual time in tests. */
import { PROCESS_CLOCK } from '../clock/process-clock.js';
import type { Milliseconds } from '../router/model/identifiers.js';

/** Undoes a timer that has not fired. */
export type CancelTimer = () => void;

/** A clock and its timers. */
export interface Timers {
  now(): Milliseconds;
  after(delay: Milliseconds, action: () => void): CancelTimer;
}

/** Those of this process. */
export const PROCESS_TIMERS: Timers = {
  now: () => PROCESS_CLOCK.now(),
  after(delay, action) {
    const timer = setTimeout(action, delay);
    return () => clearTimeout(timer);
  },
};
